package org.quetzalvane.core.request;

import java.util.Optional;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.quetzalvane.core.ResultCode;
import org.quetzalvane.core.cluster.NodeInfo;
import org.quetzalvane.core.exc.QuetzalvaneException;
import org.quetzalvane.core.model.DataCentre;

import static org.assertj.core.api.Assertions.assertThat;

/** Keys issued by another process: only a later incarnation of its node proves that the process has ended. */
class ForeignIdempotencyKeysTest {
    private final ForeignIdempotencyKeys foreignKeys = new ForeignIdempotencyKeys(
            node("n1", 5), name -> "n2".equals(name) ? Optional.of(node("n2", 7)) : Optional.empty());

    @ParameterizedTest
    @CsvSource({
        "n2:7:1, HELD_ELSEWHERE",
        "n2:6:1, NEVER_WILL_RUN",
        "n2:8:1, OUTCOME_UNKNOWN",
        "n3:7:1, OUTCOME_UNKNOWN",
        "n1:4:1, NEVER_WILL_RUN",
        "nonsense, KEY_REQUIRED",
    })
    void foreignKeyFailsWithTheCodeOfItsState(String key, ResultCode expected) {
        QuetzalvaneException failure = foreignKeys.failureFor(key);
        assertThat(failure.code()).isEqualTo(expected);
        assertThat(failure.code().provesNotRun()).isEqualTo(expected == ResultCode.KEY_REQUIRED);
    }

    private static NodeInfo node(String name, long incarnation) {
        return new NodeInfo(name, incarnation, name, new DataCentre("r", "a"), name + ":1", name + ":2");
    }
}
