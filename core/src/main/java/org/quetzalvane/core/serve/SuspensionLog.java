package org.quetzalvane.core.serve;

import org.quetzalvane.core.event.EventCode;
import org.quetzalvane.core.fleet.Endpoint;

/** Logs suspensions of endpoints. Stateless. */
final class SuspensionLog {
    private SuspensionLog() {}

    static void logIfSuspended(ServingContext context, Endpoint e, boolean suspended, String cause) {
        if (suspended) {
            context.log().log(EventCode.ENDPOINT_SUSPENDED, e.id(), "cause", cause);
        }
    }
}
