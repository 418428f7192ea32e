package org.quetzalvane.core.time;

/**
 * Time since an instant, for permissions that expire: the longer one of the times on the monotonic clock and on the
 * wall clock. The monotonic clock stands still while the machine is suspended; the wall clock may be set back.
 * Immutable.
 */
public final class Stopwatch {
    private final Scheduler scheduler;
    private final long startNanos;
    private final long startWallMillis;

    private Stopwatch(Scheduler scheduler) {
        this.scheduler = scheduler;
        this.startNanos = scheduler.nanoTime();
        this.startWallMillis = scheduler.wallMillis();
    }

    /** Starts measuring now. */
    public static Stopwatch start(Scheduler scheduler) {
        return new Stopwatch(scheduler);
    }

    /** Time since the start, milliseconds. */
    public long elapsedMs() {
        long monotonicMs = (scheduler.nanoTime() - startNanos) / 1_000_000;
        return Math.max(monotonicMs, scheduler.wallMillis() - startWallMillis);
    }
}
