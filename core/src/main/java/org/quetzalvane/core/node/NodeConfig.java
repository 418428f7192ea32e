package org.quetzalvane.core.node;

import java.time.Duration;

import org.quetzalvane.core.load.DispatchConfig;
import org.quetzalvane.core.ownership.OwnershipConfig;

/**
 * Settings of a node. Immutable; each {@code withX} method returns a changed copy.
 *
 * @param ownership timing of leases and claims
 * @param dispatch queues, loads and evictions
 * @param pollInterval interval between reads of the log and of the host list
 * @param addressTtl TTL of address responses: how long callers may use an address
 * @param drainTimeout longest time that a planned stop waits for running requests
 * @param snapshotInterval longest time without a new snapshot on the log; must be well below the retention of the log
 */
public record NodeConfig(
        OwnershipConfig ownership,
        DispatchConfig dispatch,
        Duration pollInterval,
        Duration addressTtl,
        Duration drainTimeout,
        Duration snapshotInterval) {

    /** Returns the defaults for a region. */
    public static NodeConfig of(String region) {
        return new NodeConfig(
                OwnershipConfig.of(region),
                DispatchConfig.defaults(),
                Duration.ofMillis(250),
                Duration.ofSeconds(2),
                Duration.ofMinutes(5),
                Duration.ofHours(1));
    }

    public NodeConfig withOwnership(OwnershipConfig newOwnership) {
        return new NodeConfig(newOwnership, dispatch, pollInterval, addressTtl, drainTimeout, snapshotInterval);
    }

    public NodeConfig withDispatch(DispatchConfig newDispatch) {
        return new NodeConfig(ownership, newDispatch, pollInterval, addressTtl, drainTimeout, snapshotInterval);
    }

    public NodeConfig withPollInterval(Duration newPollInterval) {
        return new NodeConfig(ownership, dispatch, newPollInterval, addressTtl, drainTimeout, snapshotInterval);
    }

    public NodeConfig withDrainTimeout(Duration newDrainTimeout) {
        return new NodeConfig(ownership, dispatch, pollInterval, addressTtl, newDrainTimeout, snapshotInterval);
    }

    public NodeConfig withAddressTtl(Duration newAddressTtl) {
        return new NodeConfig(ownership, dispatch, pollInterval, newAddressTtl, drainTimeout, snapshotInterval);
    }

    public NodeConfig withSnapshotInterval(Duration newSnapshotInterval) {
        return new NodeConfig(ownership, dispatch, pollInterval, addressTtl, drainTimeout, newSnapshotInterval);
    }
}
