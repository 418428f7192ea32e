package org.quetzalvane.core.serve;

import org.quetzalvane.core.ResultCode;
import org.quetzalvane.core.fleet.Endpoint;
import org.quetzalvane.core.limit.Permit;
import org.quetzalvane.core.limit.RetryAfter;
import org.quetzalvane.core.residency.LoadRequest;
import org.quetzalvane.core.routes.Route;

/**
 * Acquires a permit before a request is sent to an endpoint that named a limit. A request whose permit is denied
 * selects an endpoint again, which then takes the wait into account, and so does one whose endpoint asked meanwhile to
 * be sent nothing; one that cannot be served in time is refused. Confined to the event loop.
 */
final class PermitGate {
    /** Permits that are asked for before the request is refused. */
    private static final int MAX_ASKED = 3;
    /** Wait that is accepted beyond the expected one, ms; less than the selection of another endpoint costs. */
    private static final long WAIT_MARGIN_MS = 50;

    private final ServingContext context;
    private final CallerRequest request;
    private final Route route;
    private final EngineAcquisition.Handler handler;
    private final long startNanos;
    private int asked;

    PermitGate(ServingContext context, CallerRequest request, Route route, EngineAcquisition.Handler handler) {
        this.context = context;
        this.request = request;
        this.route = route;
        this.handler = handler;
        this.startNanos = context.scheduler().nanoTime();
    }

    /** Urgency of a request, lowest number first; one that may have run goes before all others. */
    static int rank(Route route, boolean mayHaveRun) {
        return mayHaveRun ? LoadRequest.MAY_HAVE_RUN_RANK : route.priority();
    }

    /** Sends the request once there is a permit; otherwise has another endpoint selected or the request refused. */
    void acquire(Endpoint e, Runnable send) {
        long waitMs = context.permits().waitMs(e);
        long retryAfterMs = waitMs == 0 ? -1 : retryAfterMs(waitMs);
        if (retryAfterMs >= 0) {
            refuse(e, retryAfterMs);
            return;
        }
        context.permits()
                .acquire(
                        e,
                        rank(route, handler.mayHaveRun()),
                        waitMs + WAIT_MARGIN_MS,
                        permit -> decided(e, permit, send));
    }

    /** The request was sent to an endpoint; counts anew for the next one. */
    void sent() {
        asked = 0;
    }

    private void decided(Endpoint e, Permit permit, Runnable send) {
        if (handler.isDone()) {
            if (permit.granted()) {
                context.permits().giveBack(e);
            }
        } else if (permit.granted() && context.endpoints().backoffMs(e) > 0) {
            context.permits().giveBack(e);
            handler.selectNext();
        } else if (permit.granted()) {
            send.run();
        } else if (++asked < MAX_ASKED) {
            handler.selectNext();
        } else {
            refuse(e, permit.waitMs());
        }
    }

    /** Retry time if the request would wait too long for a permit, ms; -1 if it may wait. */
    private long retryAfterMs(long waitMs) {
        if (handler.mayHaveRun()) {
            return waitMs <= route.callerIdleTimeoutMs() ? -1 : waitMs;
        }
        long elapsedMs = (context.scheduler().nanoTime() - startNanos) / 1_000_000;
        return context.admission().retryAfterMs(route.priority(), route.objectiveMs(), elapsedMs + waitMs) < 0
                ? -1
                : waitMs;
    }

    private void refuse(Endpoint e, long waitMs) {
        handler.giveUp(
                ResultCode.OVERLOADED,
                RetryAfter.spread(waitMs, request.id()),
                "no permit for " + e.id() + ", wait_ms=" + waitMs);
    }
}
