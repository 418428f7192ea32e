package org.quetzalvane.core.ownership;

import java.time.Duration;
import java.util.List;

/**
 * Timing of leases and claims in a region. Immutable; {@code withX} returns a changed copy.
 *
 * @param stream name of the region's ownership stream on the log
 * @param leaseDuration validity of a lease after a renewal
 * @param renewInterval interval between renewals, well below the lease duration
 * @param claimInterval interval between checks for engines to claim
 * @param expiryMargin added to the lease of another node before that lease counts as expired, for differences between
 *    clock rates
 * @param roles names of the roles that one node of the region has at a time, claimed like engines
 */
public record OwnershipConfig(
        String stream,
        Duration leaseDuration,
        Duration renewInterval,
        Duration claimInterval,
        Duration expiryMargin,
        List<String> roles) {
    /** Role of the node that grants the load permits of the region. */
    public static final String LOAD_GOVERNOR = "role:load-governor";

    /** The defaults for a region. */
    public static OwnershipConfig of(String region) {
        return new OwnershipConfig(
                "ownership-" + region,
                Duration.ofSeconds(20),
                Duration.ofSeconds(7),
                Duration.ofMillis(500),
                Duration.ofMillis(500),
                List.of(LOAD_GOVERNOR));
    }

    /** Sets the lease duration and derives the renewal interval, a third of the lease duration. */
    public OwnershipConfig withLease(Duration newLease) {
        return new OwnershipConfig(stream, newLease, newLease.dividedBy(3), claimInterval, expiryMargin, roles);
    }

    public OwnershipConfig withClaimInterval(Duration interval) {
        return new OwnershipConfig(stream, leaseDuration, renewInterval, interval, expiryMargin, roles);
    }

    public OwnershipConfig withMargin(Duration newMargin) {
        return new OwnershipConfig(stream, leaseDuration, renewInterval, claimInterval, newMargin, roles);
    }
}
