package org.quetzalvane.core.load;

import java.util.function.IntSupplier;
import java.util.function.Supplier;

import org.quetzalvane.core.model.LoadLimits;
import org.quetzalvane.core.time.Scheduler;

/**
 * Gives each live node an equal share of the store's rate and of its loads in flight.
 *
 * <p>Invariant: within any window this node starts at most its share of the rate plus one load. Thread-safe.
 */
public final class EqualShareBudget implements LoadBudget {
    private static final double NANOS_PER_SECOND = 1e9;

    private final Scheduler scheduler;
    private final Supplier<LoadLimits> limits;
    private final IntSupplier nodes;
    private int inFlight;
    private long nextStartNanos;

    public EqualShareBudget(Scheduler scheduler, Supplier<LoadLimits> limits, IntSupplier nodes) {
        this.scheduler = scheduler;
        this.limits = limits;
        this.nodes = nodes;
        this.nextStartNanos = scheduler.nanoTime();
    }

    @Override
    public synchronized boolean tryAcquire(double value) {
        long now = scheduler.nanoTime();
        int share = Math.max(1, limits.get().maxInFlight() / Math.max(1, nodes.getAsInt()));
        if (nextStartNanos - now > 0 || inFlight >= share) {
            return false;
        }
        double rate = limits.get().loadsPerSecond() / Math.max(1, nodes.getAsInt());
        nextStartNanos = now + (long) (NANOS_PER_SECOND / rate);
        inFlight++;
        return true;
    }

    @Override
    public synchronized void release() {
        inFlight--;
    }
}
