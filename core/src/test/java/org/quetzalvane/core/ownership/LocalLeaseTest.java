package org.quetzalvane.core.ownership;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Validity of the lease of this node. */
class LocalLeaseTest {
    private static final long LEASE_NANOS = 100;

    private final LocalLease lease = new LocalLease(LEASE_NANOS);

    @Test
    void renewalReadBackLateCountsFromItsOwnStart() {
        long first = lease.startRenewal(1000);
        lease.startRenewal(1050);
        assertThat(lease.valid(1060)).as("before anything was read back").isFalse();
        assertThat(lease.confirm(first)).isTrue();
        assertThat(lease.valid(1099)).isTrue();
        assertThat(lease.valid(1100)).as("the later renewal was not read back").isFalse();
    }

    @Test
    void olderRenewalReadBackAfterNewerHasNoEffect() {
        long first = lease.startRenewal(1000);
        long second = lease.startRenewal(1050);
        lease.confirm(second);
        assertThat(lease.confirm(first)).isFalse();
        assertThat(lease.valid(1149)).isTrue();
        assertThat(lease.valid(1150)).isFalse();
    }
}
