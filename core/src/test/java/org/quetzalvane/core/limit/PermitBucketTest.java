package org.quetzalvane.core.limit;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.quetzalvane.core.time.ManualScheduler;

import static org.assertj.core.api.Assertions.assertThat;

/** Order, waits and bounds of the permits of one endpoint. */
class PermitBucketTest {
    private final ManualScheduler clock = new ManualScheduler();
    private final PermitBucket bucket = new PermitBucket(clock);
    private final List<String> decided = new ArrayList<>();

    @Test
    void newBucketIsEmptyAndSaysWhenTheFirstPermitComes() {
        bucket.setRate(2);
        ask("a", 0, 0);
        assertThat(decided).containsExactly("a denied 500");
    }

    @ParameterizedTest
    @CsvSource({"0.3, 2", "2, 2", "50, 14"})
    void fullBucketHoldsTwoRequestsAndAQuarterOfASecond(double perSecond, int capacity) {
        bucket.setRate(perSecond);
        advance(1_000_000);
        for (int i = 0; i <= capacity; i++) {
            ask("r", 0, 0);
        }
        assertThat(decided.stream().filter(d -> d.contains("granted"))).hasSize(capacity);
        assertThat(decided.get(capacity)).contains("denied");
    }

    @Test
    void mostUrgentRequestsAreServedFirstAndThenTheEarliest() {
        bucket.setRate(1);
        ask("low", 2, 10_000);
        ask("first", 1, 10_000);
        ask("second", 1, 10_000);
        ask("resumed", -1, 10_000);
        advance(4_000);
        assertThat(decided).extracting(d -> d.split(" ")[0]).containsExactly("resumed", "first", "second", "low");
        assertThat(decided).allMatch(d -> d.contains("granted"));
    }

    @Test
    void requestThatCanNoLongerBeServedInTimeIsDeniedAtOnce() {
        bucket.setRate(1);
        ask("low", 2, 1_500);
        ask("urgent", 0, 1_500);
        assertThat(decided).containsExactly("low denied 2000");
        advance(1_000);
        assertThat(decided).hasSize(2).last().asString().startsWith("urgent granted");
    }

    @Test
    void returnedPermitServesTheNextRequest() {
        bucket.setRate(0.5);
        advance(2_000);
        ask("a", 0, 0);
        ask("b", 0, 1_900);
        assertThat(decided).hasSize(2).last().asString().startsWith("b denied");
        ask("c", 0, 2_000);
        bucket.giveBack();
        assertThat(decided).hasSize(3).last().asString().startsWith("c granted");
    }

    @Test
    void rateThatChangesAppliesFromNowOn() {
        bucket.setRate(1);
        ask("a", 0, 1_000);
        bucket.setRate(10);
        advance(100);
        assertThat(decided).hasSize(1).last().asString().startsWith("a granted");
        bucket.setRate(0);
        ask("b", 0, 9_000);
        assertThat(decided).last().asString().startsWith("b denied");
    }

    @Test
    void waitingRequestsAreBounded() {
        bucket.setRate(1);
        for (int i = 0; i <= PermitBucket.MAX_WAITING; i++) {
            ask("r" + i, 0, 1_000_000);
        }
        assertThat(decided).hasSize(1).last().asString().startsWith("r" + PermitBucket.MAX_WAITING + " denied");
    }

    private void ask(String name, int rank, long maxWaitMs) {
        bucket.ask(rank, maxWaitMs, p -> decided.add(name + (p.granted() ? " granted " : " denied ") + p.waitMs()));
    }

    private void advance(long ms) {
        clock.advance(Duration.ofMillis(ms));
    }
}
