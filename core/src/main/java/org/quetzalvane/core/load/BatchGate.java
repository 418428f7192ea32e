package org.quetzalvane.core.load;

import java.util.Collection;

/**
 * Holds requests back so that batches fill, for a part of the time to their deadlines that the configured weight sets.
 *
 * <p>Open while a request's time to be held is over, or while what waits fills the batch; always open unless the weight
 * favours full batches. Immutable and thread-safe.
 */
final class BatchGate {
    private static final double LONGEST_HOLD = 0.5;
    private static final double EVEN = 0.5;

    private final double hold;
    private final int batchSize;

    /** Builds a gate; {@code weight} runs from 0 to 1, and above one half it favours full batches. */
    BatchGate(double weight, int batchSize) {
        this.hold = LONGEST_HOLD * Math.max(0, weight - EVEN) / (1 - EVEN);
        this.batchSize = batchSize;
    }

    /** Until when a request that came now may be held. */
    long heldUntil(long now, long deadlineNanos) {
        return now + (long) (hold * Math.max(0, deadlineNanos - now));
    }

    /** Whether the groups, all of them resident, may be dispatched beside so many that run. */
    boolean open(Collection<WaitGroup> ready, int running, long now) {
        if (hold == 0) {
            return true;
        }
        int waiting = ready.stream().mapToInt(WaitGroup::size).sum();
        return running + waiting >= batchSize || ready.stream().anyMatch(g -> g.heldUntilNanos() - now <= 0);
    }
}
