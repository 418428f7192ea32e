package org.quetzalvane.core.ownership;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** This node's own lease. */
class LeaseKeeperTest {
    private static final long LEASE = 100;

    private final LeaseKeeper lease = new LeaseKeeper(LEASE);

    @Test
    void renewalReadBackLateCountsFromItsOwnStart() {
        long first = lease.begin(1000);
        lease.begin(1050);
        assertThat(lease.valid(1060)).as("before anything was read back").isFalse();
        assertThat(lease.readBack(first)).isTrue();
        assertThat(lease.valid(1099)).isTrue();
        assertThat(lease.valid(1100)).as("the later renewal was not read back").isFalse();
    }

    @Test
    void olderRenewalReadBackAfterANewerChangesNothing() {
        long first = lease.begin(1000);
        long second = lease.begin(1050);
        lease.readBack(second);
        assertThat(lease.readBack(first)).isFalse();
        assertThat(lease.valid(1149)).isTrue();
        assertThat(lease.valid(1150)).isFalse();
    }
}
