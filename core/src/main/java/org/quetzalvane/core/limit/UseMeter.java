package org.quetzalvane.core.limit;

import org.quetzalvane.core.time.Scheduler;

/** Mean use per second, with weights that decay exponentially with age. Confined to the event loop. */
public final class UseMeter {
    /** Time constant of the decay, ms: some requests of an account that sends a few per second. */
    private static final long DECAY_MS = 2_000;

    private final Scheduler scheduler;
    private double sum;
    private long updatedNanos;

    public UseMeter(Scheduler scheduler) {
        this.scheduler = scheduler;
        this.updatedNanos = scheduler.nanoTime();
    }

    /** Counts units used now; negative for units that were counted and returned. */
    public void add(long units) {
        decay();
        sum += units;
    }

    /** Units per second. */
    public double perSecond() {
        decay();
        return Math.max(0, sum) * 1_000 / DECAY_MS;
    }

    private void decay() {
        long now = scheduler.nanoTime();
        sum *= Math.exp((updatedNanos - now) / (DECAY_MS * 1e6));
        updatedNanos = now;
    }
}
