package org.quetzalvane.core.time;

import java.time.Duration;

/**
 * Clock and timers of a process, injected wherever time is read or awaited.
 *
 * <p>Implementations are thread-safe. Tasks run on a thread of the implementation and must not block.
 */
public interface Scheduler {

    /** Monotonic time in nanoseconds; only differences are meaningful. */
    long nanoTime();

    /** Wall clock time in milliseconds since the epoch. */
    long wallMillis();

    /** Runs a task once after a delay; a delay of zero or less runs it as soon as possible. */
    Timer schedule(Duration delay, Runnable task);

    /** Runs a task repeatedly, with a fixed delay between runs, until the timer is cancelled. */
    default Timer repeat(Duration interval, Runnable task) {
        return RepeatingTimer.start(this, interval, task);
    }

    /** A scheduled task that can be cancelled; cancelling it again has no effect. */
    @FunctionalInterface
    interface Timer {
        void cancel();
    }
}
