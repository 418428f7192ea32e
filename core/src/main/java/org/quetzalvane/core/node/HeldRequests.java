package org.quetzalvane.core.node;

import java.time.Duration;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import org.quetzalvane.core.request.InferenceRequest;
import org.quetzalvane.core.time.Scheduler;

/**
 * Holds the requests that this node receives while its lease is expired, until the owner of their engine is known from
 * the log.
 *
 * <p>After a pause of its process, a node finds itself as the owner in its ownership table until it has read the claims
 * that were appended during the pause. Invariants: a held request is submitted once, when the owner is known, at its
 * deadline or after {@link #MAX_HOLD}; never after it was cancelled. Thread-safe; nothing is called under the monitor.
 */
final class HeldRequests {
    /**
     * Longest time for which a request is held. Covers two polls of the ownership stream and a margin; a log that is
     * silent for longer is assumed to be down.
     */
    static final Duration MAX_HOLD = Duration.ofSeconds(2);

    private final Scheduler scheduler;
    private final Duration checkInterval;

    /** {@code checkInterval} is the interval between the checks of whether a held request may proceed. */
    HeldRequests(Scheduler scheduler, Duration checkInterval) {
        this.scheduler = scheduler;
        this.checkInterval = checkInterval;
    }

    /**
     * Submits a request once {@code mayProceed} is true, at the latest after {@link #MAX_HOLD} or at its deadline.
     *
     * @param mayProceed whether the lease is valid again or this node no longer has a dispatcher of the engine
     * @param submit submits the request and returns its cancellation
     * @return cancels the request, whether held or submitted
     */
    Runnable hold(InferenceRequest request, BooleanSupplier mayProceed, Supplier<Runnable> submit) {
        long now = scheduler.nanoTime();
        long waitNanos = Math.min(MAX_HOLD.toNanos(), request.deadlineNanos() - now);
        HeldRequest held = new HeldRequest(now + waitNanos, mayProceed, submit);
        held.check();
        return held::cancel;
    }

    /** A held request; the monitor guards the fields. */
    private final class HeldRequest {
        private final long submitAtNanos;
        private final BooleanSupplier mayProceed;
        private final Supplier<Runnable> submit;
        private boolean cancelled;
        private Runnable cancelSubmission = () -> {};

        HeldRequest(long submitAtNanos, BooleanSupplier mayProceed, Supplier<Runnable> submit) {
            this.submitAtNanos = submitAtNanos;
            this.mayProceed = mayProceed;
            this.submit = submit;
        }

        void check() {
            synchronized (this) {
                if (cancelled) {
                    return;
                }
            }
            if (mayProceed.getAsBoolean() || submitAtNanos - scheduler.nanoTime() <= 0) {
                submitNow();
            } else {
                scheduler.schedule(checkInterval, this::check);
            }
        }

        private void submitNow() {
            Runnable cancel = submit.get();
            boolean cancelledMeanwhile;
            synchronized (this) {
                cancelSubmission = cancel;
                cancelledMeanwhile = cancelled;
            }
            if (cancelledMeanwhile) {
                cancel.run();
            }
        }

        void cancel() {
            Runnable cancelSubmittedRequest;
            synchronized (this) {
                cancelled = true;
                cancelSubmittedRequest = cancelSubmission;
            }
            cancelSubmittedRequest.run();
        }
    }
}
