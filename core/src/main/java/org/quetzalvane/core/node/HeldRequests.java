package org.quetzalvane.core.node;

import java.time.Duration;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import org.quetzalvane.core.request.InferenceRequest;
import org.quetzalvane.core.time.Scheduler;

/**
 * Holds requests of a node whose lease has expired until the owner of their engine is known from the log.
 *
 * <p>In the state of a node that was frozen, it still owns the engine until it has read the claims made meanwhile.
 * Invariants: a held request is submitted once, when the owner is known, at its deadline or after {@link #MAX_HOLD};
 * never after it was cancelled. Thread-safe; nothing is called under the monitor.
 */
final class HeldRequests {
    /** Covers two polls of the ownership stream and a margin; a log that is silent for longer is assumed to be down. */
    static final Duration MAX_HOLD = Duration.ofSeconds(2);

    private final Scheduler scheduler;
    private final Duration checkInterval;

    /** Creates a hold that checks at the given interval whether the owner is known. */
    HeldRequests(Scheduler scheduler, Duration checkInterval) {
        this.scheduler = scheduler;
        this.checkInterval = checkInterval;
    }

    /**
     * Submits a request once {@code ownerKnown} is true, at the latest after {@link #MAX_HOLD} or at its deadline.
     *
     * @param submit submits the request and returns its cancellation
     * @return cancels the request, whether held or submitted
     */
    Runnable hold(InferenceRequest request, BooleanSupplier ownerKnown, Supplier<Runnable> submit) {
        long now = scheduler.nanoTime();
        long waitNanos = Math.min(MAX_HOLD.toNanos(), request.deadlineNanos() - now);
        HeldRequest held = new HeldRequest(now + waitNanos, ownerKnown, submit);
        held.check();
        return held::cancel;
    }

    /** A held request; the monitor guards the fields. */
    private final class HeldRequest {
        private final long submitAtNanos;
        private final BooleanSupplier mayProceed;
        private final Supplier<Runnable> submit;
        private boolean cancelled;
        private Runnable cancelSubmitted = () -> {};

        HeldRequest(long untilNanos, BooleanSupplier ownerKnown, Supplier<Runnable> submit) {
            this.submitAtNanos = untilNanos;
            this.mayProceed = ownerKnown;
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
                cancelSubmitted = cancel;
                cancelledMeanwhile = cancelled;
            }
            if (cancelledMeanwhile) {
                cancel.run();
            }
        }

        void cancel() {
            Runnable submittedCancellation;
            synchronized (this) {
                cancelled = true;
                submittedCancellation = cancelSubmitted;
            }
            submittedCancellation.run();
        }
    }
}
