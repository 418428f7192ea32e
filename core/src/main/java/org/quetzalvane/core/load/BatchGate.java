package org.quetzalvane.core.load;

import java.util.Collection;

/**
 * Holds requests back so that batches fill, for a part of the time to their deadlines that the configured weight sets.
 *
 * <p>Open while a request's time to be held is over, or while what waits fills the batch; weight 0 keeps it open.
 * Immutable and thread-safe.
 */
final class BatchGate {
    private static final double LONGEST_HOLD = 0.5;

    private final double weight;
    private final int batchSize;

    /** Builds a gate; {@code weight} runs from 0 to 1. */
    BatchGate(double weight, int batchSize) {
        this.weight = weight;
        this.batchSize = batchSize;
    }

    /** Until when a request that came now may be held. */
    long heldUntil(long now, long deadlineNanos) {
        return now + (long) (weight * LONGEST_HOLD * Math.max(0, deadlineNanos - now));
    }

    /** Whether the groups, all of them resident, may be dispatched beside so many that run. */
    boolean open(Collection<WaitGroup> ready, int running, long now) {
        if (weight == 0) {
            return true;
        }
        int waiting = ready.stream().mapToInt(WaitGroup::size).sum();
        return running + waiting >= batchSize || ready.stream().anyMatch(g -> g.heldUntilNanos() - now <= 0);
    }
}
