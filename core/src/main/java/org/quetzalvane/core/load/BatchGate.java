package org.quetzalvane.core.load;

import java.util.Collection;

/**
 * Delays the dispatch of queued requests so that batches fill. The batch weight sets the longest delay as a share of
 * the time to a request's deadline.
 *
 * <p>The gate is open when the delay of a request is over or when running and waiting requests fill a batch. It is
 * always open when the weight does not favour full batches. Immutable and thread-safe.
 */
final class BatchGate {
    /** Share of the time to a request's deadline for which it is delayed at a weight of 1. */
    private static final double MAX_HOLD_SHARE = 0.5;

    /** Weights up to this value do not delay requests. */
    private static final double NEUTRAL_WEIGHT = 0.5;

    private final double holdShare;
    private final int batchSize;

    /** Creates a gate. {@code weight} is from 0 to 1; above one half it favours full batches. */
    BatchGate(double weight, int batchSize) {
        this.holdShare = MAX_HOLD_SHARE * Math.max(0, weight - NEUTRAL_WEIGHT) / (1 - NEUTRAL_WEIGHT);
        this.batchSize = batchSize;
    }

    /** Returns the time until which a request that is queued now may be delayed. */
    long holdUntilNanos(long nowNanos, long deadlineNanos) {
        return nowNanos + (long) (holdShare * Math.max(0, deadlineNanos - nowNanos));
    }

    /** Returns whether the groups, whose adapters are all resident, may be dispatched beside the running requests. */
    boolean isOpen(Collection<WaitGroup> readyGroups, int running, long nowNanos) {
        if (holdShare == 0) {
            return true;
        }
        int waiting = readyGroups.stream().mapToInt(WaitGroup::size).sum();
        return running + waiting >= batchSize || readyGroups.stream().anyMatch(g -> g.holdUntilNanos() - nowNanos <= 0);
    }
}
