package org.quetzalvane.core.choice;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.quetzalvane.core.time.ManualScheduler;

import static org.assertj.core.api.Assertions.assertThat;

/** Retry budget with a failing endpoint under full load, when every request needs a retry. */
class RetryBudgetShareTest {
    private static final double RATIO = 0.2;
    private static final double EXTRA = 58;
    private static final int WINDOW_S = 10;

    @ParameterizedTest
    @CsvSource({"1, 200", "9, 50", "9, 1", "64, 3"})
    void nodesTogetherStayWithinTheBudgetInEveryWindow(int nodes, int requestsPerNodeAndSecond) {
        ManualScheduler clock = new ManualScheduler();
        List<RetryBudgetShare> shares = new ArrayList<>();
        for (int n = 0; n < nodes; n++) {
            shares.add(new RetryBudgetShare(clock, RATIO, EXTRA, WINDOW_S * 1_000, () -> nodes));
        }
        List<Integer> granted = new ArrayList<>();
        for (int second = 0; second < 4 * WINDOW_S; second++) {
            int grantedNow = 0;
            for (RetryBudgetShare s : shares) {
                for (int i = 0; i < requestsPerNodeAndSecond; i++) {
                    s.recordRequest("service");
                    grantedNow += sendRetry(s) ? 1 : 0;
                }
            }
            granted.add(grantedNow);
            clock.advance(Duration.ofSeconds(1));
        }
        double budget = RATIO * nodes * requestsPerNodeAndSecond * WINDOW_S + EXTRA;
        for (int from = 0; from + WINDOW_S <= granted.size(); from++) {
            int sum = granted.subList(from, from + WINDOW_S).stream()
                    .mapToInt(i -> i)
                    .sum();
            assertThat(sum).as("window from second %s", from).isLessThanOrEqualTo((int) budget);
        }
        assertThat(granted.stream().mapToInt(i -> i).sum()).isPositive();
    }

    @ParameterizedTest
    @CsvSource({"0, 0, 0", "1, 2, 46", "9, 0, 5"})
    void nodeThatKnowsNoPeersTakesTheSmallestShare(int knownNodes, int expectedAtStart, int expected) {
        ManualScheduler clock = new ManualScheduler();
        RetryBudgetShare share = new RetryBudgetShare(clock, RATIO, EXTRA, WINDOW_S * 1_000, () -> knownNodes);
        assertThat(takeAll(share)).as("first window").isEqualTo(expectedAtStart);
        clock.advance(Duration.ofSeconds(WINDOW_S + 1));
        assertThat(takeAll(share)).isEqualTo(expected);
    }

    /** A retry counts from when it is sent, and is left to no other request from when it is reserved. */
    @Test
    void reservedRetryCountsWhenItIsUsed() {
        ManualScheduler clock = new ManualScheduler();
        RetryBudgetShare share = new RetryBudgetShare(clock, RATIO, EXTRA, WINDOW_S * 1_000, () -> 9);
        clock.advance(Duration.ofSeconds(WINDOW_S));
        RetryBudgetShare.Reservation released = share.tryReserve("service");
        RetryBudgetShare.Reservation used = share.tryReserve("service");
        assertThat(takeAll(share)).isEqualTo(3);
        released.release();
        released.release();
        assertThat(released.use()).isFalse();
        clock.advance(Duration.ofSeconds(WINDOW_S - 1));
        assertThat(used.use()).isTrue();
        assertThat(used.use()).isFalse();
        clock.advance(Duration.ofSeconds(2));
        assertThat(takeAll(share)).isEqualTo(4);
    }

    private static boolean sendRetry(RetryBudgetShare share) {
        RetryBudgetShare.Reservation retry = share.tryReserve("service");
        return retry != null && retry.use();
    }

    private static int takeAll(RetryBudgetShare share) {
        int granted = 0;
        while (sendRetry(share)) {
            granted++;
        }
        return granted;
    }
}
