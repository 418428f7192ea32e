package org.quetzalvane.core.load;

import java.time.Duration;

/**
 * Settings of the dispatch to one engine. Immutable; each {@code withX} method returns a changed copy.
 *
 * @param maxQueued maximum number of requests in the queue of one engine
 * @param maxQueuedPerCaller maximum number of requests of one caller in the queue of one engine
 * @param progressTimeout longest time without progress of a running attempt
 * @param maxRequestDuration maximum running time of a request
 * @param reportInterval interval between requests for the engine's report
 * @param loadBackoff time for which an adapter is not loaded again after a failed load
 * @param policy replaceable policies
 */
public record DispatchConfig(
        int maxQueued,
        int maxQueuedPerCaller,
        Duration progressTimeout,
        Duration maxRequestDuration,
        Duration reportInterval,
        Duration loadBackoff,
        DispatchPolicy policy) {

    /** How the nodes of a region share the load limits of the weight store. */
    public enum BudgetMode {
        /** Each live node has an equal share. */
        EQUAL_SHARES,
        /** The load governor, a role of one node, grants load permits by the value of the loads. */
        GOVERNED
    }

    public static DispatchConfig defaults() {
        return baseline().withPolicy(DispatchPolicy.defaults());
    }

    /**
     * Returns the default limits with the policies of {@link DispatchPolicy#baseline()}, the reference with which other
     * policies are compared.
     */
    public static DispatchConfig baseline() {
        return new DispatchConfig(
                1000,
                200,
                Duration.ofSeconds(5),
                Duration.ofMinutes(5),
                Duration.ofSeconds(1),
                Duration.ofSeconds(2),
                DispatchPolicy.baseline());
    }

    public LoadPolicy loadPolicy() {
        return policy.loadPolicy();
    }

    public EvictionPolicy evictionPolicy() {
        return policy.evictionPolicy();
    }

    public BudgetMode budget() {
        return policy.budget();
    }

    /** Returns a copy with other policies. */
    public DispatchConfig withPolicy(DispatchPolicy newPolicy) {
        return new DispatchConfig(
                maxQueued,
                maxQueuedPerCaller,
                progressTimeout,
                maxRequestDuration,
                reportInterval,
                loadBackoff,
                newPolicy);
    }

    /** Returns a copy with another load policy and another eviction policy. */
    public DispatchConfig withLoadAndEvictionPolicy(LoadPolicy newLoadPolicy, EvictionPolicy newEvictionPolicy) {
        return withPolicy(policy.withLoadAndEvictionPolicy(newLoadPolicy, newEvictionPolicy));
    }

    /** Returns a copy with another way to share the load limits of the weight store. */
    public DispatchConfig withBudget(BudgetMode newBudget) {
        return withPolicy(policy.withBudget(newBudget));
    }

    /** Returns a copy with other longest forecast waits for a load, as shares of the time to the deadline. */
    public DispatchConfig withMaxWaitShares(double newMaxWaitShare, double newIdleMaxWaitShare) {
        return withPolicy(policy.withMaxWaitShares(newMaxWaitShare, newIdleMaxWaitShare));
    }

    /** Returns a copy with another weight of full batches against short waits, from 0 to 1. */
    public DispatchConfig withBatchWeight(double weight) {
        return withPolicy(policy.withBatchWeight(weight));
    }

    /** Returns a copy with another interval between requests for the engine's report. */
    public DispatchConfig withReportInterval(Duration interval) {
        return new DispatchConfig(
                maxQueued, maxQueuedPerCaller, progressTimeout, maxRequestDuration, interval, loadBackoff, policy);
    }

    /** Returns a copy with other maximum numbers of queued requests. */
    public DispatchConfig withQueues(int total, int perCaller) {
        return new DispatchConfig(
                total, perCaller, progressTimeout, maxRequestDuration, reportInterval, loadBackoff, policy);
    }

    /** Returns a copy with another progress timeout and another maximum running time of a request. */
    public DispatchConfig withTimeouts(Duration progress, Duration request) {
        return new DispatchConfig(
                maxQueued, maxQueuedPerCaller, progress, request, reportInterval, loadBackoff, policy);
    }
}
