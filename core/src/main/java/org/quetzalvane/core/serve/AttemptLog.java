package org.quetzalvane.core.serve;

import org.quetzalvane.core.event.EventCode;
import org.quetzalvane.core.fleet.Endpoint;

/** Log entries of silent attempts and of endpoints that the outlier detector has suspended. Stateless. */
final class AttemptLog {
    private AttemptLog() {}

    /** Logs the suspension of an endpoint if {@code suspended}, the result of the outlier detector, is true. */
    static void logIfSuspended(ServingContext context, Endpoint e, boolean suspended, String cause) {
        if (suspended) {
            context.log().log(EventCode.ENDPOINT_SUSPENDED, e.id(), "cause", cause);
        }
    }

    /**
     * Logs that an attempt is silent, with what decides whether another one can replace it.
     *
     * @param begun whether the response to the caller has begun
     * @param resumable whether another endpoint can continue the response
     * @param alternative whether the route permits another attempt and another endpoint is listed
     */
    static void logSilence(
            ServingContext context,
            CallerRequest request,
            Endpoint e,
            long silentMs,
            boolean begun,
            boolean resumable,
            boolean alternative) {
        Object[] fields = {
            "endpoint", e.id(),
            "silent_ms", silentMs,
            "begun", begun,
            "resumable", resumable,
            "alternative", alternative
        };
        context.log().log(EventCode.ATTEMPT_SILENT, request.id(), fields);
    }
}
