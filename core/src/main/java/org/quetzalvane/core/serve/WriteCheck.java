package org.quetzalvane.core.serve;

import org.quetzalvane.core.choice.RetryBudgetShare;
import org.quetzalvane.core.event.EventCode;
import org.quetzalvane.core.fleet.Endpoint;

/**
 * Last check of one attempt, immediately before its request is written: what was decided before may be out of date by
 * then. Confined to the event loop.
 */
final class WriteCheck {
    private final ServingContext context;
    private final CallerRequest request;
    private final Endpoint endpoint;
    private final RetryBudgetShare.Reservation retry;
    private Withheld withheld;

    /** Why a request is not written. */
    enum Withheld {
        /** The retry budget has shrunk since the retry was reserved. */
        NO_RETRY_LEFT,
        /** The endpoint has asked to be sent nothing for a time. */
        ENDPOINT_BACKS_OFF
    }

    /**
     * Creates the check of an attempt.
     *
     * @param retry the retry that the attempt uses, or null if it is the first one to be written
     */
    WriteCheck(ServingContext context, CallerRequest request, Endpoint endpoint, RetryBudgetShare.Reservation retry) {
        this.context = context;
        this.request = request;
        this.endpoint = endpoint;
        this.retry = retry;
    }

    /** Whether the request is written; its retry counts from now on. */
    boolean passes() {
        if (context.endpoints().backoffMs(endpoint) > 0) {
            withheld = Withheld.ENDPOINT_BACKS_OFF;
        } else if (retry != null && !useRetry()) {
            withheld = Withheld.NO_RETRY_LEFT;
        }
        return withheld == null;
    }

    private boolean useRetry() {
        long waitedMs = retry.ageMs();
        boolean used = retry.use();
        EventCode event = used ? EventCode.RETRY_SENT : EventCode.RETRY_WITHHELD;
        context.log().log(event, request.id(), "endpoint", endpoint.id(), "waited_ms", waitedMs);
        return used;
    }

    /** Why the check did not pass, or null. */
    Withheld withheld() {
        return withheld;
    }

    /** The retry that the attempt uses or has used, or null if it is the first one. */
    RetryBudgetShare.Reservation retry() {
        return retry;
    }
}
