package org.quetzalvane.core.load;

import java.time.Duration;

/**
 * Settings of dispatch at one engine. Immutable; {@code withX} returns a changed copy.
 *
 * @param maxQueued requests that may wait at one engine
 * @param maxQueuedPerCaller requests of one caller that may wait at one engine
 * @param progressTimeout longest silence of a running answer
 * @param maxRequestDuration longest permitted running time of a request
 * @param reportInterval pause between questions for the engine's own report
 * @param loadBackoff pause after a failed load of an adapter
 * @param policy the decisions that can be exchanged
 */
public record DispatchConfig(
        int maxQueued,
        int maxQueuedPerCaller,
        Duration progressTimeout,
        Duration maxRequestDuration,
        Duration reportInterval,
        Duration loadBackoff,
        DispatchPolicy policy) {

    /** How the nodes of a region share the weight store's limits. */
    public enum BudgetMode {
        /** Each live node has an equal part. */
        EQUAL_SHARES,
        /** One node gives out permits by value. */
        GOVERNED
    }

    /** Defaults. */
    public static DispatchConfig defaults() {
        return baseline().withPolicy(DispatchPolicy.defaults());
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

    /** Replaces the decisions. */
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

    /** Replaces both policies of loads. */
    public DispatchConfig withPolicies(LoadPolicy newLoads, EvictionPolicy newEvictions) {
        return withPolicy(policy.withLoads(newLoads, newEvictions));
    }

    /** Replaces how the weight store's limits are shared. */
    public DispatchConfig withBudget(BudgetMode newBudget) {
        return withPolicy(policy.withBudget(newBudget));
    }

    /** Replaces the longest forecast waits. */
    public DispatchConfig withPatience(double newPatience, double idle) {
        return withPolicy(policy.withPatience(newPatience, idle));
    }

    /** Replaces the weight of full batches against short waits, from 0 to 1. */
    public DispatchConfig withBatchWeight(double weight) {
        return withPolicy(policy.withBatchWeight(weight));
    }

    /** Replaces the pause between questions for the engine's own report. */
    public DispatchConfig withReportInterval(Duration interval) {
        return new DispatchConfig(
                maxQueued, maxQueuedPerCaller, progressTimeout, maxRequestDuration, interval, loadBackoff, policy);
    }

    /** Replaces the bounds of the queue. */
    public DispatchConfig withQueues(int total, int perCaller) {
        return new DispatchConfig(
                total, perCaller, progressTimeout, maxRequestDuration, reportInterval, loadBackoff, policy);
    }

    /** Replaces the longest silence of an answer and the longest running time of a request. */
    public DispatchConfig withTimeouts(Duration progress, Duration request) {
        return new DispatchConfig(
                maxQueued, maxQueuedPerCaller, progress, request, reportInterval, loadBackoff, policy);
    }
}
