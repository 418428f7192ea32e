package org.quetzalvane.core.quarantine;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.quetzalvane.core.fleet.Endpoint;
import org.quetzalvane.core.time.ManualScheduler;

import static org.assertj.core.api.Assertions.assertThat;

/** Bounds of what one node keeps and sends, whatever callers and endpoints do. */
class QuarantineBoundsTest {
    private static final String SERVICE = "s";

    private final ManualScheduler clock = new ManualScheduler();
    private final QuarantineState state = new QuarantineState(clock, (code, subject, fields) -> {}, "n1");

    private static PartSet parts(String... ids) {
        return PartSet.of(SERVICE, List.of(ids));
    }

    private static Endpoint endpoint(int i) {
        return new Endpoint("e" + i, SERVICE, "127.0.0.1", 1, "a", "v1", Endpoint.State.READY, 4, i, Map.of());
    }

    @Test
    void partsOfARequestAreLimited() {
        List<String> many = IntStream.range(0, 1_000).mapToObj(i -> "p" + i).toList();
        assertThat(PartSet.of(SERVICE, many).size()).isEqualTo(PartSet.MAX_PARTS);
    }

    @Test
    void instancesAndRequestsInEvidenceAreLimitedAndExpire() {
        for (int i = 0; i < 7_500; i++) {
            state.recordBroken(endpoint(i), parts("a" + i), i, 10, false);
        }
        for (int r = 0; r < 500; r++) {
            state.recordBroken(endpoint(7_499), parts("b" + r), 10_000 + r, r, false);
        }
        assertThat(state.sizes().get(0)).isEqualTo(CrashEvidence.MAX_INSTANCES);
        List<InstanceReport> reports = state.takeReports();
        assertThat(reports).hasSizeLessThanOrEqualTo(CrashEvidence.MAX_INSTANCES);
        assertThat(reports).allMatch(r -> r.begun().size() <= InstanceRecord.MAX_BEGUN);
        clock.advance(Duration.ofMillis(CrashEvidence.RETENTION_MS + 1));
        state.judge();
        assertThat(state.sizes().get(0)).isZero();
    }

    @Test
    void passesAndSentRequestsAreLimited() {
        for (int i = 0; i < PassTable.MAX_ENTRIES + 100; i++) {
            state.recordSent(i);
            state.recordPass(SERVICE, parts("p" + i), i);
        }
        assertThat(state.sizes().get(1)).isEqualTo(PassTable.MAX_ENTRIES);
    }

    @Test
    void condemnedSetsAreLimited() {
        for (int i = 0; i < 100; i++) {
            state.sets()
                    .adopt(new CondemnedSet(
                            SERVICE, parts("p" + i), List.of(), 4, 0, 0, CondemnedSet.FIRST_PAUSE_MS, 0, 0));
        }
        assertThat(state.condemned()).hasSize(CondemnedSets.MAX_SETS);
    }
}
