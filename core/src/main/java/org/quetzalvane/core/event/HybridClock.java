package org.quetzalvane.core.event;

import java.util.concurrent.atomic.AtomicLong;

import org.quetzalvane.core.time.Scheduler;

/**
 * Hybrid logical clock: an event recorded after a message was received has a later time than the message. Events of
 * processes that did not communicate are ordered by wall clock.
 *
 * <p>Each reading is greater than every earlier reading and every {@linkplain #observe observed} one. Lock-free and
 * thread-safe.
 */
public final class HybridClock {
    static final int COUNTER_BITS = 16;

    private final Scheduler scheduler;
    private final AtomicLong last = new AtomicLong();

    public HybridClock(Scheduler scheduler) {
        this.scheduler = scheduler;
    }

    /** Returns the next reading. */
    public long next() {
        long wall = scheduler.wallMillis() << COUNTER_BITS;
        return last.updateAndGet(prev -> Math.max(prev + 1, wall));
    }

    /** Ensures that later readings are greater than one received from another process. */
    public void observe(long time) {
        last.accumulateAndGet(time, Math::max);
    }
}
