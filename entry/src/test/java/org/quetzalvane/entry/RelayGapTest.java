package org.quetzalvane.entry;

import java.util.stream.IntStream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Members of a hub to which a record was not passed on, though later ones were. */
class RelayGapTest {
    private static final int NODES = 30;
    private static final int PHASES = 10;
    private static final int PHASE_MS = 53;

    /** Time after which a hub no longer lists a member that is cut off, ms. */
    private static final long UNLISTED_MS = 1_300;

    private static final int CUT_FROM_STORE_MS = 1_000;

    /** Time after the end of a fault within which a node has all records, ms. */
    private static final long STABILITY_MS = 3_000;

    /** A member that the hub had not listed for a while counted as complete with the next record, and kept the gap. */
    @ParameterizedTest
    @ValueSource(ints = {30, 100})
    void recordIsNotMissedThoughLaterOnesArrive(int writeIntervalMs) {
        IntStream.range(0, PHASES).forEach(phase -> {
            PausedNodes nodes = new PausedNodes(true);
            nodes.store.write(PausedNodes.OPERATOR, "config", "1");
            nodes.start(NODES);
            nodes.advance(10_000);
            PausedNodes.Node member = nodes.all().stream()
                    .filter(n -> !n.exchange.isHub())
                    .findFirst()
                    .orElseThrow();
            member.disturb(PausedNodes.Fault.CUT_OFF);
            nodes.advance(UNLISTED_MS);
            nodes.store.write(PausedNodes.OPERATOR, "config", "2");
            nodes.advance(phase * PHASE_MS);
            member.disturb(PausedNodes.Fault.CUT_FROM_STORE);
            writeVersions(nodes, writeIntervalMs);
            member.recover();
            nodes.advance(STABILITY_MS);
            assertThat(member.values()).as("phase " + phase).containsEntry("config", "2");
        });
    }

    private static void writeVersions(PausedNodes nodes, int intervalMs) {
        for (int i = 0; i < CUT_FROM_STORE_MS / intervalMs; i++) {
            nodes.store.write(PausedNodes.OPERATOR, "version/" + i, "2");
            nodes.advance(intervalMs);
        }
    }
}
