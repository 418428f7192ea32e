package org.quetzalvane.entry;

import java.util.concurrent.TimeUnit;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class GoneJudgeTest {
    private static final long LEFT_MS = 10_000;

    private final GoneJudge judge = new GoneJudge();

    private static long nanos(long ms) {
        return TimeUnit.MILLISECONDS.toNanos(ms);
    }

    @ParameterizedTest
    @CsvSource({"-100, 0", "0, 0", "500, 0", "501, 1", "3000, 1"})
    void requestIsLateBeyondTheBound(long passedOnMs, int late) {
        judge.began("a", nanos(LEFT_MS + passedOnMs), 50);
        judge.left("a", "n1", nanos(LEFT_MS));
        judge.began("b", nanos(LEFT_MS + passedOnMs), 50);
        assertThat(judge.passedOnLate()).hasSize(late);
    }

    /** A run that does not last so long, or of a node that was held up, is not judged. */
    @ParameterizedTest
    @CsvSource({
        "-100, 5000, 200, -1, 1, 0",
        "-100, 5000, 600, -1, 1, 1",
        "-100, 5000, 0, -1, 1, 1",
        "-100, 550, 0, -1, 0, 0",
        "100, 5000, 0, -1, 0, 0",
        "-100, 5000, 600, 300, 0, 0",
        "-100, 5000, 600, 700, 1, 1"
    })
    void runIsWorkedOnBeyondTheBound(
            long beganMs, long lengthMs, long endedMs, long heldUpMs, int judged, long workedOn) {
        judge.left("a", "n1", nanos(LEFT_MS));
        judge.began("a", nanos(LEFT_MS + beganMs), lengthMs);
        if (endedMs > 0) {
            judge.ended("a", nanos(LEFT_MS + endedMs));
        }
        judge.heldUp("n2", nanos(LEFT_MS), nanos(LEFT_MS + 1_000));
        if (heldUpMs > 0) {
            judge.heldUp("n1", nanos(LEFT_MS + heldUpMs), nanos(LEFT_MS + heldUpMs + 100));
        }
        assertThat(judge.longRuns()).hasSize(judged);
        assertThat(judge.workedOn()).isEqualTo(workedOn);
    }
}
