package org.quetzalvane.core.team;

import java.time.Duration;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.quetzalvane.core.time.ManualScheduler;

import static org.assertj.core.api.Assertions.assertThat;

class DutyLeaseTest {
    private static final int LEASE_MS = 3_000;
    private final ManualScheduler clock = new ManualScheduler();

    private AssignmentLease lease(boolean checked, boolean formerUp) {
        AssignmentLease l = new AssignmentLease(clock, checked, LEASE_MS, 24, (duty, generation) -> formerUp);
        l.update(1, Set.of(), clock.nanoTime());
        clock.advance(Duration.ofSeconds(1));
        return l;
    }

    @ParameterizedTest
    @CsvSource({"true, 2900, -1", "true, 3000, 7", "false, 0, 7"})
    void ordersBeginAtOnceOnlyAfterAHolderThatIsGone(boolean formerUp, long waitedMs, long token) {
        AssignmentLease l = lease(true, formerUp);
        l.update(7, Set.of(3), clock.nanoTime());
        clock.advance(Duration.ofMillis(waitedMs));
        assertThat(l.token(3)).isEqualTo(token);
        assertThat(l.token(4)).isEqualTo(-1);
    }

    @ParameterizedTest
    @CsvSource({"true, 7", "false, -1"})
    void unconfirmedDutyGoesOnOnlyWhereEnginesCheckTokens(boolean checked, long token) {
        AssignmentLease l = lease(checked, false);
        l.update(7, Set.of(3), clock.nanoTime());
        assertThat(l.token(3)).isEqualTo(7);
        clock.advance(Duration.ofMinutes(1));
        assertThat(l.token(3)).isEqualTo(token);
    }

    @Test
    void refusedTokenIsNotUsedAgainUntilTheGroupGivesAnother() {
        AssignmentLease l = lease(true, false);
        l.update(7, Set.of(3), clock.nanoTime());
        l.tokenRejected(7);
        assertThat(l.token(3)).isEqualTo(-1);
        l.update(9, Set.of(3), clock.nanoTime());
        assertThat(l.token(3)).isEqualTo(9);
    }

    @ParameterizedTest
    @CsvSource({"2999, true", "3000, false"})
    void ordersOfALostDutyAreToldForALease(long passedMs, boolean told) {
        AssignmentLease l = lease(true, false);
        l.update(7, Set.of(3, 4), clock.nanoTime());
        l.recordOrder(3);
        l.update(8, Set.of(4), clock.nanoTime());
        clock.advance(Duration.ofMillis(passedMs));
        assertThat(l.recentlyOrdered()).isEqualTo(told ? Set.of(3) : Set.of());
    }

    /** All nodes start at once while the store is away; the first to join is dealt everything for a moment. */
    @ParameterizedTest
    @CsvSource({"600, -1", "700, 34"})
    void firstDutiesOfALifeAreListenedForBeforeOrdersBegin(long passedMs, long token) {
        AssignmentLease l = new AssignmentLease(clock, true, LEASE_MS, 24, (duty, generation) -> false);
        clock.advance(Duration.ofSeconds(2));
        l.update(34, Set.of(3), clock.nanoTime());
        clock.advance(Duration.ofMillis(passedMs));
        assertThat(l.token(3)).isEqualTo(token);
    }

    @Test
    void answerOfAnOlderGenerationChangesNothing() {
        AssignmentLease l = lease(true, false);
        l.update(9, Set.of(3), clock.nanoTime());
        assertThat(l.update(8, Set.of(4), clock.nanoTime())).isFalse();
        assertThat(l.owned()).containsExactly(3);
    }
}
