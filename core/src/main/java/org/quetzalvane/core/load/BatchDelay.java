package org.quetzalvane.core.load;

import java.util.Collection;

/**
 * Computes how long the dispatch of queued requests is delayed so that batches fill. The batch weight sets the longest
 * delay as a share of the time to a request's deadline.
 *
 * <p>Dispatch is allowed when the delay of a request is over or when running and waiting requests fill a batch, and
 * always when the weight does not favour full batches. Immutable and thread-safe.
 */
final class BatchDelay {
    /** Share of the time to a request's deadline for which it is delayed at a weight of 1. */
    private static final double MAX_DELAY_SHARE = 0.5;

    /** Weights up to this value do not delay requests. */
    private static final double MAX_WEIGHT_WITHOUT_DELAY = 0.5;

    private final double delayShare;
    private final int batchSize;

    /** {@code weight} is from 0 to 1; above {@link #MAX_WEIGHT_WITHOUT_DELAY} it favours full batches. */
    BatchDelay(double weight, int batchSize) {
        this.delayShare =
                MAX_DELAY_SHARE * Math.max(0, weight - MAX_WEIGHT_WITHOUT_DELAY) / (1 - MAX_WEIGHT_WITHOUT_DELAY);
        this.batchSize = batchSize;
    }

    /** Returns the time until which the dispatch of a request that is queued now may be delayed. */
    long delayEndNanos(long nowNanos, long deadlineNanos) {
        return nowNanos + (long) (delayShare * Math.max(0, deadlineNanos - nowNanos));
    }

    /** Returns whether the groups, whose adapters are all resident, may be dispatched beside the running requests. */
    boolean allowsDispatch(Collection<WaitGroup> readyGroups, int running, long nowNanos) {
        if (delayShare == 0) {
            return true;
        }
        int waiting = readyGroups.stream().mapToInt(WaitGroup::size).sum();
        return running + waiting >= batchSize || readyGroups.stream().anyMatch(g -> g.delayEndNanos() - nowNanos <= 0);
    }
}
