package org.quetzalvane.core.node;

import java.time.Duration;

import org.quetzalvane.core.load.DispatchConfig;
import org.quetzalvane.core.ownership.OwnershipConfig;

/**
 * Settings of a node's parts. Immutable; {@code withX} returns a changed copy.
 *
 * @param ownership timing of leases and claims
 * @param dispatch queues, loads and evictions
 * @param poll pause between reads of the log and of the host list
 * @param answerLifetime how long callers may keep an address answer
 * @param drainLimit longest wait for running requests at a planned stop
 * @param snapshotPeriod longest time without a snapshot on the log; well below the log's retention
 */
public record NodeConfig(
        OwnershipConfig ownership,
        DispatchConfig dispatch,
        Duration poll,
        Duration answerLifetime,
        Duration drainLimit,
        Duration snapshotPeriod) {

    /** Defaults for a region. */
    public static NodeConfig of(String region) {
        return new NodeConfig(
                OwnershipConfig.of(region),
                DispatchConfig.defaults(),
                Duration.ofMillis(250),
                Duration.ofSeconds(2),
                Duration.ofMinutes(5),
                Duration.ofHours(1));
    }

    public NodeConfig withOwnership(OwnershipConfig o) {
        return new NodeConfig(o, dispatch, poll, answerLifetime, drainLimit, snapshotPeriod);
    }

    public NodeConfig withDispatch(DispatchConfig d) {
        return new NodeConfig(ownership, d, poll, answerLifetime, drainLimit, snapshotPeriod);
    }

    public NodeConfig withPoll(Duration pause) {
        return new NodeConfig(ownership, dispatch, pause, answerLifetime, drainLimit, snapshotPeriod);
    }

    public NodeConfig withDrainLimit(Duration limit) {
        return new NodeConfig(ownership, dispatch, poll, answerLifetime, limit, snapshotPeriod);
    }

    public NodeConfig withAnswerLifetime(Duration lifetime) {
        return new NodeConfig(ownership, dispatch, poll, lifetime, drainLimit, snapshotPeriod);
    }

    public NodeConfig withSnapshotPeriod(Duration period) {
        return new NodeConfig(ownership, dispatch, poll, answerLifetime, drainLimit, period);
    }
}
