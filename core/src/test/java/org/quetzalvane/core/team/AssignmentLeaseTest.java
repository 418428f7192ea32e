package org.quetzalvane.core.team;

import java.time.Duration;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.quetzalvane.core.time.ManualScheduler;
import org.quetzalvane.core.time.Stopwatch;
import org.quetzalvane.core.time.SuspendableMachine;

import static org.assertj.core.api.Assertions.assertThat;

class AssignmentLeaseTest {
    private static final int LEASE_MS = 3_000;
    private final ManualScheduler clock = new ManualScheduler();

    private AssignmentLease lease(boolean fencingEnforced, boolean mayStillOrder) {
        AssignmentLease l =
                new AssignmentLease(clock, fencingEnforced, LEASE_MS, 24, (partition, generation) -> mayStillOrder);
        l.update(1, Set.of(), Stopwatch.start(clock));
        clock.advance(Duration.ofSeconds(1));
        return l;
    }

    @ParameterizedTest
    @CsvSource({"true, 2900, -1", "true, 3900, -1", "true, 4000, 7", "false, 0, 7"})
    void ordersStartAtOnceOnlyIfNoPreviousOwnerMayStillOrder(boolean mayStillOrder, long elapsedMs, long token) {
        AssignmentLease l = lease(true, mayStillOrder);
        l.update(7, Set.of(3), Stopwatch.start(clock));
        clock.advance(Duration.ofMillis(elapsedMs));
        assertThat(l.tokenForOrder(3)).isEqualTo(token);
        assertThat(l.tokenForOrder(4)).isEqualTo(-1);
    }

    @ParameterizedTest
    @CsvSource({"true, 7", "false, -1"})
    void unconfirmedAssignmentStaysValidOnlyWhereEnginesCheckTokens(boolean fencingEnforced, long token) {
        AssignmentLease l = lease(fencingEnforced, false);
        l.update(7, Set.of(3), Stopwatch.start(clock));
        assertThat(l.tokenForOrder(3)).isEqualTo(7);
        clock.advance(Duration.ofMinutes(1));
        assertThat(l.tokenForOrder(3)).isEqualTo(token);
    }

    /** The monotonic clock of a suspended machine stands still, so that an expired lease looked valid. */
    @ParameterizedTest
    @CsvSource({"2099, 7", "2100, -1"})
    void leaseExpiresWhileTheMachineIsSuspended(long suspendedMs, long token) {
        SuspendableMachine machine = new SuspendableMachine(clock);
        AssignmentLease l = new AssignmentLease(machine, false, LEASE_MS, 24, (partition, generation) -> false);
        l.update(7, Set.of(3), Stopwatch.start(machine));
        clock.advance(Duration.ofSeconds(1));
        l.update(7, Set.of(3), Stopwatch.start(machine));
        machine.suspend(suspendedMs);
        assertThat(l.tokenForOrder(3)).isEqualTo(token);
    }

    @Test
    void rejectedTokenIsNotUsedUntilTheGenerationChanges() {
        AssignmentLease l = lease(true, false);
        l.update(7, Set.of(3), Stopwatch.start(clock));
        l.tokenRejected(7);
        assertThat(l.tokenForOrder(3)).isEqualTo(-1);
        l.update(9, Set.of(3), Stopwatch.start(clock));
        assertThat(l.tokenForOrder(3)).isEqualTo(9);
    }

    @ParameterizedTest
    @CsvSource({"2999, true", "3000, false"})
    void ordersOfALostPartitionAreReportedForOneLease(long elapsedMs, boolean reported) {
        AssignmentLease l = lease(true, false);
        l.update(7, Set.of(3, 4), Stopwatch.start(clock));
        l.recordOrder(3);
        l.update(8, Set.of(4), Stopwatch.start(clock));
        clock.advance(Duration.ofMillis(elapsedMs));
        assertThat(l.recentlyOrdered()).isEqualTo(reported ? Set.of(3) : Set.of());
    }

    /** If all nodes start at once after an outage, the group assigns all partitions to the first that joins. */
    @ParameterizedTest
    @CsvSource({"600, -1", "700, 34"})
    void firstOrdersWaitForTheStatusOfPeers(long elapsedMs, long token) {
        AssignmentLease l = new AssignmentLease(clock, true, LEASE_MS, 24, (partition, generation) -> false);
        clock.advance(Duration.ofSeconds(2));
        l.update(34, Set.of(3), Stopwatch.start(clock));
        clock.advance(Duration.ofMillis(elapsedMs));
        assertThat(l.tokenForOrder(3)).isEqualTo(token);
    }

    @Test
    void responseOfAnOlderGenerationIsIgnored() {
        AssignmentLease l = lease(true, false);
        l.update(9, Set.of(3), Stopwatch.start(clock));
        assertThat(l.update(8, Set.of(4), Stopwatch.start(clock))).isFalse();
        assertThat(l.owned()).containsExactly(3);
    }
}
