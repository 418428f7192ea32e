package org.quetzalvane.core.serve;

import java.util.HashSet;
import java.util.Set;

import org.quetzalvane.core.choice.RetryBudgetShare;
import org.quetzalvane.core.fleet.Endpoint;
import org.quetzalvane.core.routes.Route;
import org.quetzalvane.core.routes.RouteKind;
import org.quetzalvane.core.routes.ServiceSpec;

/** Creates and sends the attempts of one request, each with the time that is left. Confined to the event loop. */
final class AttemptSender {
    /**
     * Part of the remaining time that is kept for the network, ms; twice the delay between data centres, at most 2.5
     * ms.
     */
    private static final long NETWORK_MARGIN_MS = 5;

    private final Attempt.Shared shared;
    private final ServiceSpec service;
    private final RequestDeadline deadline;
    private final AccountGate account;
    /** Ids of the endpoints that an attempt was sent to. */
    private final Set<String> sentTo = new HashSet<>();

    AttemptSender(Attempt.Shared shared, ServiceSpec service, RequestDeadline deadline, AccountGate account) {
        this.shared = shared;
        this.service = service;
        this.deadline = deadline;
        this.account = account;
    }

    /** Time left to an endpoint, ms. */
    long remainingMs() {
        return deadline.remainingMs() - NETWORK_MARGIN_MS;
    }

    /**
     * An attempt at an endpoint, not sent yet; null if no time is left.
     *
     * @param retry the retry that it uses, or null if it is the first one to be written
     */
    Attempt createAttempt(Endpoint e, RetryBudgetShare.Reservation retry) {
        return remainingMs() <= 0 ? null : new Attempt(shared, e, service.servesModels(), retry);
    }

    /**
     * Sends an attempt under the account that was looked up last.
     *
     * @param version adapter version that must serve it
     * @param lastEventId id of the event after which the stream is to continue, or null
     */
    void send(Attempt a, int version, String lastEventId) {
        Route route = shared.route();
        account.sent(a);
        a.send(new EndpointRequest(
                shared.request(),
                remainingMs(),
                enginePriority(route.priority()),
                version,
                lastEventId,
                reuse(a.endpoint()),
                confirmation(lastEventId),
                account.accountName(),
                account.forwardsCredentials()));
    }

    /**
     * How certain the software version of the endpoint must be: events of a resumed stream must not come from another
     * one, and the version that begins a stream is recorded for its resumption.
     */
    private EndpointRequest.Confirmation confirmation(String lastEventId) {
        Route route = shared.route();
        if (route.kind() != RouteKind.STREAMING || !route.retryable() || !service.servesModels()) {
            return EndpointRequest.Confirmation.NONE;
        }
        if (lastEventId != null) {
            return EndpointRequest.Confirmation.REQUIRED;
        }
        return shared.context().servedVersions().maySeveralServe()
                ? EndpointRequest.Confirmation.UNLESS_SILENT
                : EndpointRequest.Confirmation.NONE;
    }

    private EndpointRequest.Reuse reuse(Endpoint e) {
        if (!sentTo.add(e.id())) {
            return EndpointRequest.Reuse.NONE;
        }
        return shared.route().retryable() ? EndpointRequest.Reuse.ANY : EndpointRequest.Reuse.RECENTLY_USED;
    }

    /** Route priorities 0, 1 and 2 become engine priorities 1, 3 and 5; larger ones are limited to 9. */
    private static int enginePriority(int priority) {
        return Math.min(9, 1 + 2 * priority);
    }
}
