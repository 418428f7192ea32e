package org.quetzalvane.standins.replay;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.ObjectMapper;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Recorded traces meet their expected outcomes, and each replay of a trace gives the same report byte for byte. */
class RecordedTracesTest {
    private static final Path TRACES = Path.of("src/test/resources/traces");

    @ParameterizedTest
    @ValueSource(strings = {"vozes", "vozes-node-kill", "coldwater", "coldwater-store-slow"})
    void replayMeetsExpectedOutcomesAndIsDeterministic(String name) throws Exception {
        Trace trace = Trace.readFrom(TRACES.resolve(name + ".jsonl"));

        ReplayReport first = TraceReplayer.replay(trace, TraceReplayer.nodeConfig(trace.header()));
        ReplayReport second = TraceReplayer.replay(trace, TraceReplayer.nodeConfig(trace.header()));

        assertThat(first.satisfies(trace.header().expect()))
                .as(first.toString())
                .isTrue();
        assertThat(toJson(second)).isEqualTo(toJson(first));
    }

    @Test
    void floodingCallerDoesNotDelayOthers() {
        Trace ordinary = TraceGenerator.generate(WorkloadProfile.coldwater(), 1, 0.5, 8, 16, 60_000);

        ReplayReport without = TraceReplayer.replay(ordinary, TraceReplayer.nodeConfig(ordinary.header()));
        ReplayReport with = TraceReplayer.replay(flooded(ordinary), TraceReplayer.nodeConfig(ordinary.header()));

        assertThat(with.firstPart().p95())
                .isLessThanOrEqualTo(without.firstPart().p95() * 12 / 10);
    }

    /** Adds a caller that requests the same adapters twenty times as often as all other callers together. */
    private static Trace flooded(Trace ordinary) {
        List<TraceEvent> all = new ArrayList<>();
        for (TraceEvent e : ordinary.events()) {
            TraceEvent.Arrival a = (TraceEvent.Arrival) e;
            all.add(a);
            for (int i = 0; i < 20; i++) {
                all.add(new TraceEvent.Arrival(
                        a.at(), "flood", a.adapter(), 1, a.kind(), a.prefix(), a.tokens(), a.deadline(), true, 0));
            }
        }
        return new Trace(ordinary.header(), all);
    }

    private static String toJson(ReplayReport report) throws Exception {
        return new ObjectMapper().writeValueAsString(report);
    }
}
