package org.quetzalvane.entry;

import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.quetzalvane.entry.LostJudge.Kind;
import org.quetzalvane.entry.LostJudge.Outcome;

import static org.assertj.core.api.Assertions.assertThat;

class LostJudgeTest {
    private static final long GRACE_MS = 6_000;
    private static final long TIMEOUT_MS = 5_000;

    private final LostJudge judge = new LostJudge(GRACE_MS);

    /** A request is lost if an endpoint got it, or if its connection ended late, unless its timeout was reached. */
    @ParameterizedTest
    @CsvSource({
        "true, 50, false, 1",
        "false, 50, false, 0",
        "false, 300, false, 1",
        "true, 5100, false, 0",
        "true, 50, true, 0"
    })
    void findsRequestsOfCalmNodes(boolean passedOn, long endMs, boolean complete, int found) {
        add(passedOn, 0, endMs, complete);
        assertThat(judge.lostInCalm(TIMEOUT_MS)).hasSize(found);
        assertThat(judge.lostInStop(TIMEOUT_MS)).isEmpty();
    }

    /** A stopped node may cut in the last sixth of its grace period what was sent early. */
    @ParameterizedTest
    @CsvSource({"1000, 4000, 1", "2500, 5100, 0", "3500, 5100, 1", "-100, 4800, 1", "-100, 4000, 1", "6500, 7200, 0"})
    void findsRequestsOfStoppedNodes(long sentMs, long endMs, int found) {
        judge.begin("n1", Kind.STOP, 0);
        add(true, sentMs, endMs, false);
        assertThat(judge.lostInStop(TIMEOUT_MS)).hasSize(found);
        assertThat(judge.lostInCalm(TIMEOUT_MS)).isEmpty();
    }

    /** Freezes and kills excuse a node during the stability window after them. */
    @ParameterizedTest
    @CsvSource({"0, 0", "3000, 0", "3900, 0", "4100, 1"})
    void excusesDisturbedNodes(long sentMs, int found) {
        judge.begin("n1", Kind.UNPLANNED, 0).accept(TimeUnit.MILLISECONDS.toNanos(1_000));
        add(true, sentMs, sentMs + 100, false);
        assertThat(judge.lostInCalm(TIMEOUT_MS)).hasSize(found);
    }

    @Test
    void disturbancesOfOtherNodesAreNoExcuse() {
        judge.begin("n2", Kind.UNPLANNED, 0);
        add(true, 0, 100, false);
        assertThat(judge.lostInCalm(TIMEOUT_MS)).hasSize(1);
    }

    private void add(boolean passedOn, long sentMs, long endMs, boolean complete) {
        if (passedOn) {
            judge.passedOn("r1");
        }
        judge.add(new Outcome(
                "r1",
                "n1",
                "/once/x",
                TimeUnit.MILLISECONDS.toNanos(sentMs),
                TimeUnit.MILLISECONDS.toNanos(endMs),
                complete ? 200 : 0,
                complete));
    }
}
