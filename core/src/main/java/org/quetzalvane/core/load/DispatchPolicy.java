package org.quetzalvane.core.load;

/**
 * Replaceable policies of dispatch. Immutable; each {@code withX} method returns a changed copy.
 *
 * @param loadPolicy order of the loads
 * @param evictionPolicy selects the adapter to evict
 * @param budget how the nodes share the load limits of the weight store
 * @param maxWaitShare longest forecast wait for a load, as a share of the time to the deadline; a request that would
 *     wait longer is refused at once; if infinite, loads are not planned and requests wait until the deadline
 * @param idleMaxWaitShare longest forecast wait, as such a share, while requests waited for a load at this engine in at
 *     most 20 % of the recent time; between 20 % and 50 % the longest wait is interpolated linearly
 * @param fairSharing whether requests are dispatched by priority and then by fair sharing among callers; otherwise in
 *     order of arrival
 * @param batchWeight weight of full batches against short waits, from 0 to 1; up to one half requests are dispatched
 *     without delay
 */
public record DispatchPolicy(
        LoadPolicy loadPolicy,
        EvictionPolicy evictionPolicy,
        DispatchConfig.BudgetMode budget,
        double maxWaitShare,
        double idleMaxWaitShare,
        boolean fairSharing,
        double batchWeight) {
    private static final double DEFAULT_MAX_WAIT_SHARE = 0.08;
    private static final double DEFAULT_IDLE_MAX_WAIT_SHARE = 0.25;
    private static final double NEUTRAL_BATCH_WEIGHT = 0.5;
    private static final double UNTIL_DEADLINE = Double.POSITIVE_INFINITY;

    /** Returns planned loads, eviction of the least popular adapter, the governed load budget, and fair sharing. */
    public static DispatchPolicy defaults() {
        return new DispatchPolicy(
                LoadPolicy.mostWaiting(),
                EvictionPolicy.leastPopular(),
                DispatchConfig.BudgetMode.GOVERNED,
                DEFAULT_MAX_WAIT_SHARE,
                DEFAULT_IDLE_MAX_WAIT_SHARE,
                true,
                NEUTRAL_BATCH_WEIGHT);
    }

    /** Returns LRU eviction, loads and dispatch in order of arrival, equal shares, and waiting until the deadline. */
    public static DispatchPolicy baseline() {
        return new DispatchPolicy(
                LoadPolicy.firstCome(),
                EvictionPolicy.leastRecentlyUsed(),
                DispatchConfig.BudgetMode.EQUAL_SHARES,
                UNTIL_DEADLINE,
                UNTIL_DEADLINE,
                false,
                NEUTRAL_BATCH_WEIGHT);
    }

    /**
     * Returns whether loads are planned, so that a request whose adapter cannot be loaded in time is refused at once.
     */
    public boolean plansLoads() {
        return maxWaitShare != UNTIL_DEADLINE;
    }

    /** Returns a copy with another load policy and another eviction policy. */
    public DispatchPolicy withLoadAndEvictionPolicy(LoadPolicy newLoadPolicy, EvictionPolicy newEvictionPolicy) {
        return new DispatchPolicy(
                newLoadPolicy, newEvictionPolicy, budget, maxWaitShare, idleMaxWaitShare, fairSharing, batchWeight);
    }

    /** Returns a copy with another way to share the load limits of the weight store. */
    public DispatchPolicy withBudget(DispatchConfig.BudgetMode newBudget) {
        return new DispatchPolicy(
                loadPolicy, evictionPolicy, newBudget, maxWaitShare, idleMaxWaitShare, fairSharing, batchWeight);
    }

    /** Returns a copy with other longest forecast waits for a load, as shares of the time to the deadline. */
    public DispatchPolicy withMaxWaitShares(double newMaxWaitShare, double newIdleMaxWaitShare) {
        return new DispatchPolicy(
                loadPolicy, evictionPolicy, budget, newMaxWaitShare, newIdleMaxWaitShare, fairSharing, batchWeight);
    }

    /** Returns a copy with or without fair sharing among callers. */
    public DispatchPolicy withFairSharing(boolean newFairSharing) {
        return new DispatchPolicy(
                loadPolicy, evictionPolicy, budget, maxWaitShare, idleMaxWaitShare, newFairSharing, batchWeight);
    }

    /** Returns a copy with another weight of full batches. */
    public DispatchPolicy withBatchWeight(double newBatchWeight) {
        return new DispatchPolicy(
                loadPolicy, evictionPolicy, budget, maxWaitShare, idleMaxWaitShare, fairSharing, newBatchWeight);
    }
}
