package org.quetzalvane.core.serve;

import java.time.Duration;

import org.quetzalvane.core.ResultCode;
import org.quetzalvane.core.routes.Route;
import org.quetzalvane.core.time.Scheduler;

/**
 * The time by which one request ends: the earliest of its caller's deadline, its route's timeout and the end of the
 * node. Tells the request when it has to end. Confined to the event loop.
 */
final class RequestDeadline implements GracePeriod.Listener {
    private final Scheduler scheduler;
    private final GracePeriod gracePeriod;
    private final Route route;
    private final long deadlineNanos;
    private final Handler handler;
    private Scheduler.Timer timer;

    /** Ends the request; implemented by it. */
    interface Handler {
        /** Whether an attempt is in progress or may have run. */
        boolean sent();

        /**
         * Ends the request.
         *
         * @param notRun code if it was not sent
         * @param sent code if it may have run
         */
        void end(ResultCode notRun, ResultCode sent, long retryAfterMs, String cause);
    }

    RequestDeadline(ServingContext context, Route route, long timeoutMs, Handler handler) {
        this.scheduler = context.scheduler();
        this.gracePeriod = context.gracePeriod();
        this.route = route;
        this.deadlineNanos = scheduler.nanoTime() + timeoutMs * 1_000_000;
        this.handler = handler;
        this.timer = scheduler.schedule(Duration.ofMillis(timeoutMs), this::reached);
        gracePeriod.add(this);
    }

    /** The request has ended. */
    void close() {
        timer.cancel();
        gracePeriod.remove(this);
    }

    /** Time left to the request, ms; negative if it has passed. */
    long remainingMs() {
        return (gracePeriod.limit(deadlineNanos) - scheduler.nanoTime()) / 1_000_000;
    }

    /** Why the request must not be sent any more, or null; one that was sent before may be sent again. */
    Refusal refusal() {
        String cause = handler.sent() ? null : gracePeriod.refusal(route, deadlineNanos);
        return cause == null ? null : new Refusal(ResultCode.DRAINING, 0, cause);
    }

    /** Ends a request whose time has passed. */
    void reached() {
        handler.end(
                ResultCode.DEADLINE_UNREACHABLE,
                ResultCode.PROGRESS_TIMEOUT,
                RequestFlow.DEFAULT_RETRY_AFTER_MS,
                "deadline");
    }

    /** The request was served, in the given time since its arrival. */
    void served(long ms) {
        gracePeriod.recordServed(route, ms);
    }

    @Override
    public void stopBegun() {
        Refusal r = refusal();
        if (r != null) {
            handler.end(r.code(), ResultCode.OUTCOME_UNKNOWN, r.retryAfterMs(), r.cause());
        }
    }

    @Override
    public void stopEnding() {
        handler.end(ResultCode.DRAINING, ResultCode.OUTCOME_UNKNOWN, 0, "the process ends");
    }
}
