package org.quetzalvane.entry;

import java.util.Map;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/** The listings that a store has to answer when it comes back from a copy. */
class RestoreCallsTest {
    private static final int TOPICS = 2;
    /** One at the restore, one once what the copy lacks is written again. */
    private static final int LISTINGS_PER_TOPIC = 2;

    private final PausedNodes nodes = new PausedNodes(true);

    /**
     * Parameters: nodes, time for which the store is away, and nodes that list the topics. Nodes that report to a hub
     * read the store themselves while their hub does not hear from it, but leave the listing to the hub.
     */
    @ParameterizedTest
    @CsvSource({"9, 0, 9", "95, 0, 12", "95, 1000, 12", "95, 5000, 12", "300, 1000, 12", "300, 5000, 12"})
    void eachReaderOfTheStoreListsEachTopicTwice(int count, long awayMs, int readers) {
        nodes.store.write(PausedNodes.OPERATOR, "config", "1");
        nodes.store.write(PausedNodes.ENDPOINTS, "e1", "ready");
        nodes.start(count);
        nodes.advance(10_000);
        nodes.store.takeCopy();
        nodes.store.write(PausedNodes.ENDPOINTS, "lost", "ready");
        nodes.advance(3_000);
        assertThat(nodes.all()).allSatisfy(n -> assertThat(n.values()).containsKey("lost"));
        nodes.store.resetCounts();
        nodes.store.goAway();
        nodes.advance(awayMs);
        nodes.store.restoreCopy(true);
        nodes.advance(8_000);
        assertThat(nodes.store.listings()).isEqualTo(readers * TOPICS * LISTINGS_PER_TOPIC);
        assertThat(nodes.all()).allSatisfy(n -> assertThat(n.values()).isEqualTo(Map.of("config", "1", "e1", "ready")));
    }
}
