package org.quetzalvane.core.node;

import java.time.Duration;

import org.quetzalvane.core.load.DispatchConfig;
import org.quetzalvane.core.ownership.OwnershipConfig;

/**
 * Settings of a node's parts. Immutable; {@code withX} returns a changed copy.
 *
 * @param ownership timing of leases and claims
 * @param dispatch queues, loads and evictions
 * @param pollInterval pause between reads of the log and of the host list
 * @param addressTtl how long callers may keep an address answer
 * @param drainTimeout longest wait for running requests at a planned stop
 * @param snapshotInterval longest time without a snapshot on the log; well below the log's retention
 */
public record NodeConfig(
        OwnershipConfig ownership,
        DispatchConfig dispatch,
        Duration pollInterval,
        Duration addressTtl,
        Duration drainTimeout,
        Duration snapshotInterval) {

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
        return new NodeConfig(o, dispatch, pollInterval, addressTtl, drainTimeout, snapshotInterval);
    }

    public NodeConfig withDispatch(DispatchConfig d) {
        return new NodeConfig(ownership, d, pollInterval, addressTtl, drainTimeout, snapshotInterval);
    }

    public NodeConfig withPollInterval(Duration pause) {
        return new NodeConfig(ownership, dispatch, pause, addressTtl, drainTimeout, snapshotInterval);
    }

    public NodeConfig withDrainTimeout(Duration limit) {
        return new NodeConfig(ownership, dispatch, pollInterval, addressTtl, limit, snapshotInterval);
    }

    public NodeConfig withAddressTtl(Duration lifetime) {
        return new NodeConfig(ownership, dispatch, pollInterval, lifetime, drainTimeout, snapshotInterval);
    }

    public NodeConfig withSnapshotInterval(Duration period) {
        return new NodeConfig(ownership, dispatch, pollInterval, addressTtl, drainTimeout, period);
    }
}
