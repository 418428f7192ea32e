package org.quetzalvane.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Nodes that are cut off, frozen or killed while the store comes back from a copy. */
class RestoredRecordsTest {
    private static final int NODES = 30;
    private static final long[] DURATIONS_MS = {500, 2_000, 8_000};

    static Stream<Arguments> faults() {
        List<Arguments> all = new ArrayList<>();
        for (PausedNodes.Fault f : PausedNodes.Fault.values()) {
            for (long duration : DURATIONS_MS) {
                all.add(Arguments.of(true, f, duration));
                all.add(Arguments.of(false, f, duration));
            }
        }
        return all.stream();
    }

    /** The fault begins before the restore; the records written after it get the offsets of lost ones. */
    @ParameterizedTest
    @MethodSource("faults")
    void everyNodeKnowsTheRestoredRecordsOnceItIsBack(boolean hub, PausedNodes.Fault fault, long durationMs) {
        PausedNodes nodes = new PausedNodes(true);
        nodes.store.write(PausedNodes.OPERATOR, "config", "1");
        nodes.store.write(PausedNodes.ENDPOINTS, "e1", "ready");
        nodes.start(NODES);
        nodes.advance(10_000);
        nodes.store.takeCopy();
        nodes.store.write(PausedNodes.OPERATOR, "config", "2");
        nodes.store.write(PausedNodes.ENDPOINTS, "lost", "ready");
        nodes.advance(2_000);
        PausedNodes.Node victim = nodes.all().stream()
                .filter(n -> n.exchange.isHub() == hub)
                .findFirst()
                .orElseThrow();
        victim.disturb(fault);
        nodes.advance(200);
        nodes.store.restoreCopy(true);
        nodes.store.write(PausedNodes.OPERATOR, "config", "3");
        nodes.store.write(PausedNodes.ENDPOINTS, "e2", "ready");
        nodes.advance(durationMs);
        victim.recover();
        nodes.advance(8_000);
        assertThat(nodes.all())
                .filteredOn(n -> n.scheduler.running())
                .hasSizeGreaterThanOrEqualTo(NODES - 1)
                .allSatisfy(n -> assertThat(n.values()).isEqualTo(Map.of("config", "3", "e1", "ready", "e2", "ready")));
    }
}
