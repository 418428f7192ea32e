package org.quetzalvane.adapters.http;

import com.fasterxml.jackson.annotation.JsonInclude;
import org.quetzalvane.core.ResultCode;
import org.quetzalvane.core.exc.HeldElsewhereException;
import org.quetzalvane.core.request.Refusal;

/**
 * JSON body of every error response. Immutable.
 *
 * @param code number of the result code
 * @param name name of the result code
 * @param message description of the error
 * @param notRun whether the request certainly was not run
 * @param retryAfterMillis delay before a retry, in milliseconds; 0 if none is given
 * @param where address of the node to send the request to instead, {@code ip:port}, or empty
 */
@JsonInclude(JsonInclude.Include.NON_EMPTY)
public record ErrorBody(int code, String name, String message, boolean notRun, long retryAfterMillis, String where) {

    public static ErrorBody of(ResultCode code, String message) {
        return new ErrorBody(code.number(), code.name(), message, code.provesNotRun(), 0, "");
    }

    /** Returns the error that names the node holding an idempotency key. */
    public static ErrorBody of(HeldElsewhereException e) {
        ResultCode resultCode = e.code();
        return new ErrorBody(resultCode.number(), resultCode.name(), e.getMessage(), false, 0, e.holderAddress());
    }

    /** Returns the error that reports a refusal. */
    public static ErrorBody of(Refusal refusal) {
        ResultCode resultCode = refusal.code();
        return new ErrorBody(
                resultCode.number(),
                resultCode.name(),
                refusal.message(),
                true,
                refusal.retryAfterMillis(),
                refusal.redirectAddress());
    }
}
