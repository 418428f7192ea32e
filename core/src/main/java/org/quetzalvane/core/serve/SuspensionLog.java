package org.quetzalvane.core.serve;

import org.quetzalvane.core.event.EventCode;
import org.quetzalvane.core.fleet.Endpoint;

/** Log entries of endpoints that the outlier detector has suspended. Stateless. */
final class SuspensionLog {
    private SuspensionLog() {}

    /** Logs the suspension of an endpoint if {@code suspended}, the result of the outlier detector, is true. */
    static void logIfSuspended(ServingContext context, Endpoint e, boolean suspended, String cause) {
        if (suspended) {
            context.log().log(EventCode.ENDPOINT_SUSPENDED, e.id(), "cause", cause);
        }
    }
}
