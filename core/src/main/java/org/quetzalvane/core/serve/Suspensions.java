package org.quetzalvane.core.serve;

import org.quetzalvane.core.event.EventCode;
import org.quetzalvane.core.fleet.Endpoint;

/** Logs endpoints that are passed over from now. Stateless. */
final class Suspensions {
    private Suspensions() {}

    static void note(ServingContext state, Endpoint e, boolean suspended, String cause) {
        if (suspended) {
            state.log().log(EventCode.ENDPOINT_SUSPENDED, e.id(), "cause", cause);
        }
    }
}
