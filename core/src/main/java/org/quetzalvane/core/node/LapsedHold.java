package org.quetzalvane.core.node;

import java.time.Duration;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import org.quetzalvane.core.request.InferenceRequest;
import org.quetzalvane.core.time.Scheduler;

/**
 * Holds requests of a node whose own lease has lapsed until the log says who owns their engine now.
 *
 * <p>A node that was frozen still believes itself the owner until it has read the claims made meanwhile. Invariants: a
 * held request is taken up once, when the answer is known, at its deadline or after {@link #LIMIT}; never
 * after it was cancelled. Thread-safe; nothing is called under the monitor.
 */
final class LapsedHold {
    /** Two polls of the claims and a margin; a log that is silent for longer is taken to be down. */
    static final Duration LIMIT = Duration.ofSeconds(2);

    private final Scheduler scheduler;
    private final Duration poll;

    /** Builds a hold that looks again every {@code poll}. */
    LapsedHold(Scheduler scheduler, Duration poll) {
        this.scheduler = scheduler;
        this.poll = poll;
    }

    /**
     * Takes a request up once {@code known} is true, or at the latest at the limit or the request's deadline.
     *
     * @param take begins the request and returns its cancellation
     * @return cancels the request, held or taken up
     */
    Runnable hold(InferenceRequest request, BooleanSupplier known, Supplier<Runnable> take) {
        long now = scheduler.nanoTime();
        long wait = Math.min(LIMIT.toNanos(), request.deadlineNanos() - now);
        Held held = new Held(now + wait, known, take);
        held.look();
        return held::cancel;
    }

    /** One request held; the monitor guards the fields. */
    private final class Held {
        private final long untilNanos;
        private final BooleanSupplier known;
        private final Supplier<Runnable> take;
        private boolean cancelled;
        private Runnable cancelTaken = () -> {};

        Held(long untilNanos, BooleanSupplier known, Supplier<Runnable> take) {
            this.untilNanos = untilNanos;
            this.known = known;
            this.take = take;
        }

        void look() {
            synchronized (this) {
                if (cancelled) {
                    return;
                }
            }
            if (known.getAsBoolean() || untilNanos - scheduler.nanoTime() <= 0) {
                takeUp();
            } else {
                scheduler.schedule(poll, this::look);
            }
        }

        private void takeUp() {
            Runnable cancel = take.get();
            boolean left;
            synchronized (this) {
                cancelTaken = cancel;
                left = cancelled;
            }
            if (left) {
                cancel.run();
            }
        }

        void cancel() {
            Runnable taken;
            synchronized (this) {
                cancelled = true;
                taken = cancelTaken;
            }
            taken.run();
        }
    }
}
