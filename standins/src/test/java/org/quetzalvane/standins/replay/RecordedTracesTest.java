package org.quetzalvane.standins.replay;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.ObjectMapper;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Recorded traces replay to their stated outcomes, the same bytes each time. */
class RecordedTracesTest {
    private static final Path TRACES = Path.of("src/test/resources/traces");

    @ParameterizedTest
    @ValueSource(strings = {"vozes", "vozes-node-kill", "coldwater", "coldwater-store-slow"})
    void replaysToItsStatedOutcomes(String name) throws Exception {
        Trace trace = Trace.from(TRACES.resolve(name + ".jsonl"));

        ReplayReport first = TraceReplayer.replay(trace, TraceReplayer.nodeConfig(trace.header()));
        ReplayReport second = TraceReplayer.replay(trace, TraceReplayer.nodeConfig(trace.header()));

        assertThat(first.satisfies(trace.header().expect()))
                .as(first.toString())
                .isTrue();
        assertThat(bytes(second)).isEqualTo(bytes(first));
    }

    @Test
    void noFloodDelaysOtherCallers() {
        Trace calm = TraceGenerator.generate(WorkloadProfile.coldwater(), 1, 0.5, 8, 16, 60_000);

        ReplayReport without = TraceReplayer.replay(calm, TraceReplayer.nodeConfig(calm.header()));
        ReplayReport with = TraceReplayer.replay(flooded(calm), TraceReplayer.nodeConfig(calm.header()));

        assertThat(with.firstPart().p95())
                .isLessThanOrEqualTo(without.firstPart().p95() * 12 / 10);
    }

    /** Adds a caller who asks for the trace's own adapters twenty times as often as all others together. */
    private static Trace flooded(Trace calm) {
        List<TraceEvent> all = new ArrayList<>();
        for (TraceEvent e : calm.events()) {
            TraceEvent.Arrival a = (TraceEvent.Arrival) e;
            all.add(a);
            for (int i = 0; i < 20; i++) {
                all.add(new TraceEvent.Arrival(
                        a.at(), "flood", a.adapter(), 1, a.kind(), a.prefix(), a.tokens(), a.deadline(), true, 0));
            }
        }
        return new Trace(calm.header(), all);
    }

    private static String bytes(ReplayReport report) throws Exception {
        return new ObjectMapper().writeValueAsString(report);
    }
}
