package org.quetzalvane.core.load;

import java.util.function.IntSupplier;
import java.util.function.Supplier;

import org.quetzalvane.core.model.LoadLimits;
import org.quetzalvane.core.time.Scheduler;

/**
 * Load budget that gives each live node an equal share of two limits of the weight store: its load rate and its number
 * of loads in flight.
 *
 * <p>Invariant: within any time window this node starts at most its share of the rate plus one load. Thread-safe.
 */
public final class EqualShareBudget implements LoadBudget {
    private static final double NANOS_PER_SECOND = 1e9;

    private final Scheduler scheduler;
    private final Supplier<LoadLimits> limits;
    private final IntSupplier liveNodes;
    private int inFlight;
    private long nextStartAtNanos;

    public EqualShareBudget(Scheduler scheduler, Supplier<LoadLimits> limits, IntSupplier liveNodes) {
        this.scheduler = scheduler;
        this.limits = limits;
        this.liveNodes = liveNodes;
        this.nextStartAtNanos = scheduler.nanoTime();
    }

    @Override
    public synchronized boolean tryAcquire(double value) {
        long now = scheduler.nanoTime();
        int share = Math.max(1, limits.get().maxInFlight() / Math.max(1, liveNodes.getAsInt()));
        if (nextStartAtNanos - now > 0 || inFlight >= share) {
            return false;
        }
        double rate = limits.get().loadsPerSecond() / Math.max(1, liveNodes.getAsInt());
        nextStartAtNanos = now + (long) (NANOS_PER_SECOND / rate);
        inFlight++;
        return true;
    }

    @Override
    public synchronized void release() {
        inFlight--;
    }
}
