package org.quetzalvane.core.serve;

import org.quetzalvane.core.ResultCode;
import org.quetzalvane.core.event.EventCode;

/**
 * The final response of a request that ends without a complete response of an endpoint: logs it and sends it to the
 * caller. Confined to the event loop.
 */
final class FinalResponse {
    private final RequestLog log;
    private final CallerResponse response;

    FinalResponse(RequestLog log, CallerResponse response) {
        this.log = log;
        this.response = response;
    }

    /** Refuses a request that has not run and will not. */
    void refuse(ResultCode code, long retryAfterMs, String cause) {
        log.log(EventCode.REQUEST_REFUSED, "code", code.number(), "retry_after_ms", retryAfterMs, "why", cause);
        response.sendError(code, retryAfterMs);
    }

    /**
     * Fails a request that may have run.
     *
     * @param endpoint id of the endpoint of the last attempt, or null
     * @param sends attempts that may have run
     * @param begun whether the response to the caller has begun; it is then broken off
     */
    void fail(ResultCode code, String endpoint, int sends, boolean begun, String cause) {
        log.log(
                EventCode.REQUEST_FAILED,
                "code",
                code.number(),
                "endpoint",
                endpoint,
                "sends",
                sends,
                "begun",
                begun,
                "why",
                cause);
        if (begun) {
            response.abort();
        } else {
            response.sendError(code, -1);
        }
    }
}
