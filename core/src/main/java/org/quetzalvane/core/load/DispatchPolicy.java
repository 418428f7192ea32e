package org.quetzalvane.core.load;

/**
 * The decisions of dispatch that can be exchanged. Immutable; {@code withX} returns a changed copy.
 *
 * @param loadPolicy which load goes first
 * @param evictionPolicy which adapter gives way
 * @param budget how the nodes share the weight store's limits
 * @param patience longest forecast wait for a load, as a part of the time to the deadline; a request that would wait
 *     longer is refused at once; infinite to wait until the deadline
 * @param idlePatience the same while the engine's loads are seldom waited for
 * @param fair whether callers share an engine fairly, by priority; otherwise first come, first served
 * @param batchWeight weight of full batches against short waits, from 0 to 1; up to one half
 *     requests are dispatched at once
 */
public record DispatchPolicy(
        LoadPolicy loadPolicy,
        EvictionPolicy evictionPolicy,
        DispatchConfig.BudgetMode budget,
        double patience,
        double idlePatience,
        boolean fair,
        double batchWeight) {
    private static final double DEFAULT_PATIENCE = 0.08;
    private static final double DEFAULT_IDLE_PATIENCE = 0.25;
    private static final double EVEN_WEIGHT = 0.5;
    private static final double UNTIL_DEADLINE = Double.POSITIVE_INFINITY;

    /** Defaults. */
    public static DispatchPolicy defaults() {
        return new DispatchPolicy(
                LoadPolicy.mostWaiting(),
                EvictionPolicy.leastPopular(),
                DispatchConfig.BudgetMode.GOVERNED,
                DEFAULT_PATIENCE,
                DEFAULT_IDLE_PATIENCE,
                true,
                EVEN_WEIGHT);
    }

    /** LRU eviction, first-come loads and dispatch, equal shares, waiting until the deadline. */
    public static DispatchPolicy baseline() {
        return new DispatchPolicy(
                LoadPolicy.firstCome(),
                EvictionPolicy.leastRecentlyUsed(),
                DispatchConfig.BudgetMode.EQUAL_SHARES,
                UNTIL_DEADLINE,
                UNTIL_DEADLINE,
                false,
                EVEN_WEIGHT);
    }

    /** Whether loads are planned, so that what cannot be loaded in time is refused at once. */
    public boolean planned() {
        return patience != UNTIL_DEADLINE;
    }

    /** Replaces both policies of loads. */
    public DispatchPolicy withLoads(LoadPolicy newLoads, EvictionPolicy newEvictions) {
        return new DispatchPolicy(newLoads, newEvictions, budget, patience, idlePatience, fair, batchWeight);
    }

    /** Replaces how the weight store's limits are shared. */
    public DispatchPolicy withBudget(DispatchConfig.BudgetMode newBudget) {
        return new DispatchPolicy(loadPolicy, evictionPolicy, newBudget, patience, idlePatience, fair, batchWeight);
    }

    /** Replaces the longest forecast waits. */
    public DispatchPolicy withPatience(double newPatience, double newIdlePatience) {
        return new DispatchPolicy(loadPolicy, evictionPolicy, budget, newPatience, newIdlePatience, fair, batchWeight);
    }

    /** Replaces whether callers share an engine fairly. */
    public DispatchPolicy withFair(boolean newFair) {
        return new DispatchPolicy(loadPolicy, evictionPolicy, budget, patience, idlePatience, newFair, batchWeight);
    }

    /** Replaces the weight of full batches. */
    public DispatchPolicy withBatchWeight(double weight) {
        return new DispatchPolicy(loadPolicy, evictionPolicy, budget, patience, idlePatience, fair, weight);
    }
}
