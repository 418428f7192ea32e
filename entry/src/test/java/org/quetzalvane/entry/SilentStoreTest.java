package org.quetzalvane.entry;

import java.util.stream.IntStream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Nodes whose reads are lost while the store is silent for a time, without an end of its connections. */
class SilentStoreTest {
    /** Time after its acknowledgement within which a change must be in force on every node, ms. */
    private static final long APPLY_MS = 2_000;

    /** Step between the moments at which the silence begins, ms, over more than one read of the store. */
    private static final int PHASE_MS = 170;

    /** The same over the second between two views or responses of a hub, ms. */
    private static final int HUB_PHASE_MS = 47;

    private static final int PHASES = 25;
    private static final int NODES_WITH_HUBS = 30;

    /** A read that was lost in the silence hid a change until it was given up, up to 4 s after the store's return. */
    @ParameterizedTest
    @CsvSource({
        "3, 300, 0",
        "3, 900, 0",
        "3, 2000, 0",
        "3, 2000, 700",
        "3, 5000, 0",
        "3, 7000, 300",
        "30, 900, 0",
        "30, 2000, 0",
        "30, 5000, 500"
    })
    void changeIsInForceInTimeThoughReadsWereLost(int count, long silentMs, long writtenAfterMs) {
        IntStream.range(0, PHASES).forEach(phase -> {
            PausedNodes nodes = new PausedNodes(true);
            nodes.store.write(PausedNodes.OPERATOR, "config", "1");
            nodes.start(count);
            nodes.advance(10_000 + phase * PHASE_MS);
            nodes.store.silence(true);
            nodes.advance(silentMs);
            nodes.store.silence(false);
            nodes.advance(writtenAfterMs);
            nodes.store.write(PausedNodes.OPERATOR, "config", "2");
            nodes.advance(APPLY_MS);
            assertThat(nodes.all()).as("phase " + phase).allSatisfy(n -> assertThat(n.values())
                    .containsEntry("config", "2"));
        });
    }

    /** Members relied on a hub for 2 s after it had lost the store, and then had to read the change themselves. */
    @ParameterizedTest
    @CsvSource({"CUT_FROM_STORE", "FROZEN", "KILLED"})
    void changeIsInForceInTimeOnTheMembersOfALostHub(PausedNodes.Fault fault) {
        IntStream.range(0, PHASES).forEach(phase -> {
            PausedNodes nodes = new PausedNodes(true);
            nodes.store.write(PausedNodes.OPERATOR, "config", "1");
            nodes.start(NODES_WITH_HUBS);
            nodes.advance(10_000 + phase * HUB_PHASE_MS);
            PausedNodes.Node lost = hubOfAMember(nodes);
            lost.disturb(fault);
            nodes.store.write(PausedNodes.OPERATOR, "config", "2");
            nodes.advance(APPLY_MS);
            assertThat(nodes.all())
                    .as("phase " + phase)
                    .filteredOn(n -> n != lost)
                    .allSatisfy(n -> assertThat(n.values()).containsEntry("config", "2"));
        });
    }

    private static PausedNodes.Node hubOfAMember(PausedNodes nodes) {
        return nodes.all().stream()
                .filter(n -> !n.exchange.isHub())
                .map(n -> nodes.node(n.exchange.reportsTo()))
                .findFirst()
                .orElseThrow();
    }
}
