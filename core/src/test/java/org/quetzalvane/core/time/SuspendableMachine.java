package org.quetzalvane.core.time;

import java.time.Duration;

/** Clock of a machine that can be suspended: its wall clock goes on, its monotonic clock and its timers stand still. */
public final class SuspendableMachine implements Scheduler {
    private final Scheduler clock;
    private long suspendedMs;

    public SuspendableMachine(Scheduler clock) {
        this.clock = clock;
    }

    /** Suspends the machine for a time; it runs again when this returns. */
    public void suspend(long ms) {
        suspendedMs += ms;
    }

    @Override
    public long nanoTime() {
        return clock.nanoTime();
    }

    @Override
    public long wallMillis() {
        return clock.wallMillis() + suspendedMs;
    }

    @Override
    public Timer schedule(Duration delay, Runnable task) {
        return clock.schedule(delay, task);
    }
}
