package org.quetzalvane.core.serve;

import org.quetzalvane.core.ResultCode;

/**
 * Why a request must not be sent. Immutable.
 *
 * @param retryAfterMs retry time sent to the caller, ms; -1 if the request must not be repeated
 * @param cause inputs of the decision
 */
record Refusal(ResultCode code, long retryAfterMs, String cause) {}
