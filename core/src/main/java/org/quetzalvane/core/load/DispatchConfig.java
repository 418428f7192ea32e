package org.quetzalvane.core.load;

import java.time.Duration;

/**
 * Settings of dispatch at one engine. Immutable; {@code withX} returns a changed copy.
 *
 * @param maxQueued requests that may wait at one engine
 * @param maxQueuedPerCaller requests of one caller that may wait at one engine
 * @param progressTimeout longest silence of a running answer
 * @param maxRequest longest permitted running time of a request
 * @param reportInterval pause between questions for the engine's own report
 * @param loadBackoff pause after a failed load of an adapter
 * @param loads which load goes first
 * @param evictions which adapter gives way
 * @param budget how the nodes share the weight store's limits
 * @param patience longest forecast wait for a load, as a part of the time to the deadline; a request that would wait
 *     longer is refused at once; infinite to wait until the deadline
 */
public record DispatchConfig(
        int maxQueued,
        int maxQueuedPerCaller,
        Duration progressTimeout,
        Duration maxRequest,
        Duration reportInterval,
        Duration loadBackoff,
        LoadPolicy loads,
        EvictionPolicy evictions,
        Budget budget,
        double patience) {
    private static final double DEFAULT_PATIENCE = 0.25;
    private static final double UNTIL_DEADLINE = Double.POSITIVE_INFINITY;

    /** How the nodes of a region share the weight store's limits. */
    public enum Budget {
        /** Each live node has an equal part. */
        EQUAL_SHARES,
        /** One node gives out permits by value. */
        GOVERNED
    }

    /** Defaults. */
    public static DispatchConfig defaults() {
        return baseline()
                .withBudget(Budget.GOVERNED)
                .withPolicies(LoadPolicy.mostWaiting(), EvictionPolicy.leastPopular())
                .withPatience(DEFAULT_PATIENCE);
    }

    /** The first baseline: LRU eviction, first-come loads, waiting until the deadline. */
    public static DispatchConfig baseline() {
        return new DispatchConfig(
                1000,
                200,
                Duration.ofSeconds(5),
                Duration.ofMinutes(5),
                Duration.ofSeconds(1),
                Duration.ofSeconds(2),
                LoadPolicy.firstCome(),
                EvictionPolicy.leastRecentlyUsed(),
                Budget.EQUAL_SHARES,
                UNTIL_DEADLINE);
    }

    /** Replaces both policies. */
    public DispatchConfig withPolicies(LoadPolicy newLoads, EvictionPolicy newEvictions) {
        return new DispatchConfig(
                maxQueued,
                maxQueuedPerCaller,
                progressTimeout,
                maxRequest,
                reportInterval,
                loadBackoff,
                newLoads,
                newEvictions,
                budget,
                patience);
    }

    /** Replaces how the weight store's limits are shared. */
    public DispatchConfig withBudget(Budget newBudget) {
        return new DispatchConfig(
                maxQueued,
                maxQueuedPerCaller,
                progressTimeout,
                maxRequest,
                reportInterval,
                loadBackoff,
                loads,
                evictions,
                newBudget,
                patience);
    }

    /** Replaces the longest forecast wait. */
    public DispatchConfig withPatience(double newPatience) {
        return new DispatchConfig(
                maxQueued,
                maxQueuedPerCaller,
                progressTimeout,
                maxRequest,
                reportInterval,
                loadBackoff,
                loads,
                evictions,
                budget,
                newPatience);
    }

    /** Replaces the pause between questions for the engine's own report. */
    public DispatchConfig withReportInterval(Duration interval) {
        return new DispatchConfig(
                maxQueued,
                maxQueuedPerCaller,
                progressTimeout,
                maxRequest,
                interval,
                loadBackoff,
                loads,
                evictions,
                budget,
                patience);
    }

    /** Replaces the bounds of the queue. */
    public DispatchConfig withQueues(int total, int perCaller) {
        return new DispatchConfig(
                total,
                perCaller,
                progressTimeout,
                maxRequest,
                reportInterval,
                loadBackoff,
                loads,
                evictions,
                budget,
                patience);
    }

    /** Replaces the longest silence of an answer and the longest running time of a request. */
    public DispatchConfig withTimeouts(Duration progress, Duration request) {
        return new DispatchConfig(
                maxQueued,
                maxQueuedPerCaller,
                progress,
                request,
                reportInterval,
                loadBackoff,
                loads,
                evictions,
                budget,
                patience);
    }
}
