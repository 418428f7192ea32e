package org.quetzalvane.entry;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.quetzalvane.platform.standin.StreamingEngineStandIn.Behaviour;
import org.quetzalvane.platform.standin.StreamingEngineStandIn.Identity;

import static org.assertj.core.api.Assertions.assertThat;

class RepeatJudgeTest {
    private static final int LEFT_MS = 8_000;

    private final RepeatJudge judge = new RepeatJudge(2);

    /** The extra is 50, and each of the requests adds a fifth. */
    @ParameterizedTest
    @CsvSource({"1, 50, 0", "1, 51, 1", "10, 52, 0", "10, 53, 1"})
    void findsMoreRepeatsThanAWindowAllows(int requests, int repeats, int findings) {
        Behaviour engine = judge.observing(identity("e1"), (attempt, first) -> null);
        for (int i = 0; i < requests; i++) {
            judge.requested("r" + i, LEFT_MS);
            engine.arrived("r" + i, LEFT_MS);
        }
        for (int i = 0; i < repeats; i++) {
            engine.arrived("r0", LEFT_MS);
        }
        assertThat(judge.findings()).hasSize(findings);
    }

    /** Three attempts may run on too many engines; those that ended do not count. */
    @ParameterizedTest
    @CsvSource({"3, false, 0", "4, false, 1", "4, true, 0"})
    void findsAttemptsThatRanOnTooManyEngines(int attempts, boolean ended, int findings) {
        for (int a = 0; a < attempts; a++) {
            judge.requested("r" + a, LEFT_MS);
            for (int e = 0; e < 3; e++) {
                judge.observing(identity("e" + e), (attempt, first) -> null).endOf("r" + a, 1);
            }
        }
        if (ended) {
            judge.ended(identity("e0"));
        }
        assertThat(judge.findings()).hasSize(findings);
    }

    @Test
    void findsNothingWithoutRepeats() {
        judge.requested("r", LEFT_MS);
        judge.observing(identity("e1"), (attempt, first) -> null).arrived("r", LEFT_MS);
        assertThat(judge.findings()).isEmpty();
        assertThat(judge.summary()).contains("worst window none");
    }

    private static Identity identity(String id) {
        return new Identity(id, "v1", 1);
    }
}
