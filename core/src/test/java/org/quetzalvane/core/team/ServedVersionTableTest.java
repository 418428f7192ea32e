package org.quetzalvane.core.team;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.quetzalvane.core.event.StructuredLog;
import org.quetzalvane.core.fleet.Endpoint;
import org.quetzalvane.core.fleet.EndpointTable;
import org.quetzalvane.core.store.SharedRead;
import org.quetzalvane.core.time.ManualScheduler;

import static org.assertj.core.api.Assertions.assertThat;

/** Software versions that serve, over the loss of all nodes, on the paused clock. */
class ServedVersionTableTest {
    private static final StructuredLog NO_LOG = (code, subject, fields) -> {};
    private static final String SERVICE = "engines";
    /** Value that states that the records are complete in the first epoch of the store. */
    private static final String STATEMENT = "0";

    private static final long REPORT_INTERVAL_MS = 1_200;

    private final ManualScheduler clock = new ManualScheduler();
    private final FakeWritableTopic topic = new FakeWritableTopic();
    private final FakeWritableTopic list = new FakeWritableTopic();
    private EndpointTable endpoints = new EndpointTable(clock);
    private boolean listCurrent = true;
    private boolean writer = true;
    /** Number of times that all nodes started; a node of an earlier time does nothing any more. */
    private int lives;

    private ServedVersionTable table = start();

    private ServedVersionTable start() {
        EndpointTable known = endpoints;
        SharedRead listReads = new SharedRead(
                clock, list, Duration.ofMillis(ServedVersionTable.LOOKUP_TIMEOUT_MS), page -> page.records()
                        .forEach(r -> known.apply(endpoint(r.key(), new String(r.value(), StandardCharsets.UTF_8)))));
        int life = ++lives;
        ServedVersionTable t = new ServedVersionTable(
                clock,
                new ServedVersionTable.Inputs(
                        topic,
                        endpoints,
                        listReads,
                        () -> listCurrent && life == lives,
                        () -> writer && life == lives,
                        () -> false,
                        REPORT_INTERVAL_MS),
                NO_LOG);
        t.start();
        return t;
    }

    /** Takes a copy of the records; the result brings it back, in the next epoch. */
    private Runnable copyRecords() {
        Map<String, byte[]> copy = Map.copyOf(topic.values);
        return () -> {
            topic.values.clear();
            topic.values.putAll(copy);
            topic.epoch++;
        };
    }

    /** Loses what all nodes know; the store and the clock go on. */
    private void restartAllNodes() {
        list.values.clear();
        endpoints = new EndpointTable(clock);
        table = start();
    }

    /** Adds an endpoint to the list, which this node learns of at once. */
    private void list(String id, String softwareVersion) {
        listUnknown(id, softwareVersion);
        endpoints.apply(endpoint(id, softwareVersion));
    }

    private void listUnknown(String id, String softwareVersion) {
        list.values.put(id, softwareVersion.getBytes(StandardCharsets.UTF_8));
    }

    private void unlist(String id) {
        list.values.remove(id);
        endpoints.entryRemoved(id);
    }

    private static Endpoint endpoint(String id, String softwareVersion) {
        return new Endpoint(id, SERVICE, "10.0.0.1", 80, "a", softwareVersion, Endpoint.State.READY, 4, 1, Map.of());
    }

    private void advance(long ms) {
        clock.advance(Duration.ofMillis(ms));
    }

    /** The versions found, or null while the lookup goes on. */
    private Set<String> find() {
        List<Set<String>> found = new ArrayList<>();
        table.find(SERVICE, found::add);
        advance(ServedVersionTable.LOOKUP_TIMEOUT_MS);
        assertThat(found).hasSizeLessThanOrEqualTo(1);
        return found.isEmpty() ? null : found.get(0);
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void versionThatLeftWhileNoNodeRanIsFoundByAWriterAndByOthers(boolean restartedAsWriter) {
        list("old", "v1");
        advance(ServedVersionTable.CHECK_INTERVAL_MS);
        restartAllNodes();
        writer = restartedAsWriter;
        list("new", "v2");
        assertThat(find()).containsExactlyInAnyOrder("v1", "v2");
    }

    @Test
    void onlyVersionIsFoundAfterTheLossOfAllNodes() {
        list("old", "v1");
        advance(ServedVersionTable.CHECK_INTERVAL_MS);
        restartAllNodes();
        list("new", "v1");
        assertThat(find()).containsExactly("v1");
    }

    @Test
    void versionIsForgottenOnceNoStreamOfItCanLast() {
        list("old", "v1");
        list("new", "v2");
        advance(ServedVersionTable.CHECK_INTERVAL_MS);
        unlist("old");
        advance(EndpointTable.RETENTION_MS / 2);
        restartAllNodes();
        list("new", "v2");
        advance(EndpointTable.RETENTION_MS / 2);
        assertThat(find()).containsExactlyInAnyOrder("v1", "v2");
        advance(EndpointTable.RETENTION_MS);
        assertThat(find()).containsExactly("v2");
        assertThat(topic.texts()).containsExactlyInAnyOrder(SERVICE + "\nv2", STATEMENT);
    }

    @ParameterizedTest
    @CsvSource({"true, false", "false, true", "false, false"})
    void nothingIsFoundWhileTheListOrTheRecordsCannotBeRead(boolean listAnswers, boolean recordsAnswer) {
        list("old", "v1");
        advance(EndpointTable.RETENTION_MS);
        list.away = !listAnswers;
        topic.away = !recordsAnswer;
        assertThat(find()).isEmpty();
    }

    /**
     * A node that was frozen or cut off while a version joined took the only version that it knew for the right one.
     */
    @Test
    void versionThatJoinedWhileTheNodeWasOutOfStepIsFound() {
        list("old", "v1");
        advance(EndpointTable.RETENTION_MS);
        listUnknown("new", "v2");
        assertThat(find()).containsExactlyInAnyOrder("v1", "v2");
    }

    /** The version joined and left while the node was out of step; another node has recorded it. */
    @Test
    void versionThatCameAndWentWhileTheNodeWasOutOfStepIsFound() {
        list("old", "v1");
        advance(EndpointTable.RETENTION_MS);
        topic.values.put("v2", (SERVICE + "\nv2").getBytes(StandardCharsets.UTF_8));
        assertThat(find()).containsExactlyInAnyOrder("v1", "v2");
    }

    /** A read that began before the lookup may not show what was listed in between. */
    @Test
    void lookupWaitsForAReadThatBeganAfterIt() {
        list("old", "v1");
        list.held = new ArrayList<>();
        List<Set<String>> found = new ArrayList<>();
        table.find(SERVICE, found::add);
        table.find(SERVICE, found::add);
        assertThat(list.held).hasSize(1);
        list.held.remove(0).run();
        assertThat(found).hasSize(1);
        assertThat(list.held).hasSize(1);
        listUnknown("new", "v2");
        list.held.remove(0).run();
        assertThat(found).last().isEqualTo(Set.of("v1", "v2"));
    }

    /** The first answer of the store to come late must not answer a lookup twice. */
    @Test
    void lookupEndsOnceAlthoughTheStoreAnswersLate() {
        list("old", "v1");
        topic.held = new ArrayList<>();
        assertThat(find()).isEmpty();
        List<Runnable> answers = List.copyOf(topic.held);
        topic.held = null;
        answers.forEach(Runnable::run);
        assertThat(find()).containsExactly("v1");
    }

    @Test
    void recordsAreWrittenAgainAfterTheStoreCameBackWithoutThem() {
        list("old", "v1");
        advance(ServedVersionTable.CHECK_INTERVAL_MS);
        topic.values.clear();
        table.storeRestored();
        advance(ServedVersionTable.CHECK_INTERVAL_MS);
        assertThat(topic.texts()).containsExactlyInAnyOrder(SERVICE + "\nv1", STATEMENT);
    }

    @Test
    void nothingIsWrittenOrReadWhileTheVersionsStayTheSame() {
        list("old", "v1");
        advance(EndpointTable.RETENTION_MS);
        assertThat(topic.writes).isEqualTo(1);
        assertThat(topic.reads).isEqualTo(1);
    }

    /**
     * Callers got streams of two versions: nodes that started on a store that had come back from a copy took the only
     * version in it for the one that began a stream.
     */
    @ParameterizedTest
    @CsvSource({"1, false", "1, true", "2, false"})
    void onlyVersionInACopyProvesNothingUntilNoEarlierStreamCanLast(int restores, boolean newerIsListedAgain) {
        list("old", "v1");
        advance(ServedVersionTable.CHECK_INTERVAL_MS);
        Runnable restore = copyRecords();
        list("new", "v2");
        advance(ServedVersionTable.CHECK_INTERVAL_MS);
        for (int i = 0; i < restores; i++) {
            restore.run();
        }
        restartAllNodes();
        list("old", "v1");
        assertThat(find()).isEmpty();
        assertThat(table.maySeveralServe()).isTrue();
        advance(EndpointTable.RETENTION_MS / 2);
        assertThat(find()).isEmpty();
        if (newerIsListedAgain) {
            list("new", "v2");
            assertThat(find()).containsExactlyInAnyOrder("v1", "v2");
            return;
        }
        advance(EndpointTable.RETENTION_MS / 2);
        assertThat(find()).containsExactly("v1");
        assertThat(table.maySeveralServe()).isFalse();
        assertThat(topic.texts()).contains(Long.toString(restores));
    }

    /** A node that followed the list through a restore writes what the copy lacks, for nodes that start afterwards. */
    @ParameterizedTest
    @ValueSource(ints = {1, 2})
    void versionsAreKnownThroughARestoreThatANodeFollowed(int restores) {
        list("old", "v1");
        advance(ServedVersionTable.CHECK_INTERVAL_MS);
        Runnable restore = copyRecords();
        list("new", "v2");
        advance(ServedVersionTable.CHECK_INTERVAL_MS + ServedVersionRecorder.PENDING_MS);
        unlist("new");
        for (int i = 0; i < restores; i++) {
            restore.run();
            table.storeRestored();
        }
        assertThat(find()).containsExactlyInAnyOrder("v1", "v2");
        advance(ServedVersionTable.CHECK_INTERVAL_MS);
        restartAllNodes();
        list("old", "v1");
        assertThat(find()).containsExactlyInAnyOrder("v1", "v2");
    }

    /** What a node read from the records when it started is written again as well. */
    @Test
    void versionThatANodeKnowsFromTheRecordsIsWrittenAgainAfterARestore() {
        list("old", "v1");
        advance(ServedVersionTable.CHECK_INTERVAL_MS);
        Runnable restore = copyRecords();
        list("new", "v2");
        advance(ServedVersionTable.CHECK_INTERVAL_MS);
        restartAllNodes();
        list("old", "v1");
        advance(ServedVersionTable.CHECK_INTERVAL_MS);
        restore.run();
        table.storeRestored();
        advance(ServedVersionTable.CHECK_INTERVAL_MS);
        assertThat(topic.texts()).contains(SERVICE + "\nv1", SERVICE + "\nv2", "1");
    }

    /** The node was frozen, cut off or without a hub: a version may have joined and left, and its record is lost. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void nodeThatDidNotFollowTheListThroughARestoreKnowsNothing(boolean noticedBefore) {
        list("old", "v1");
        advance(EndpointTable.RETENTION_MS);
        Runnable restore = copyRecords();
        listCurrent = false;
        advance(noticedBefore ? ServedVersionTable.CHECK_INTERVAL_MS : 0);
        restore.run();
        table.storeRestored();
        listCurrent = true;
        advance(ServedVersionTable.CHECK_INTERVAL_MS);
        assertThat(find()).isEmpty();
        assertThat(topic.texts()).doesNotContain("1");
        advance(EndpointTable.RETENTION_MS);
        assertThat(find()).containsExactly("v1");
    }

    /** A node that lost the store without a restore takes up again what the records state. */
    @Test
    void historyIsCompleteAgainOnceTheStoreIsBack() {
        list("old", "v1");
        advance(ServedVersionTable.CHECK_INTERVAL_MS);
        listCurrent = false;
        advance(ServedVersionTable.CHECK_INTERVAL_MS);
        assertThat(table.maySeveralServe()).isTrue();
        listCurrent = true;
        advance(ServedVersionTable.CHECK_INTERVAL_MS);
        assertThat(table.maySeveralServe()).isFalse();
        assertThat(find()).containsExactly("v1");
    }

    /** Nodes of the software before this one recorded versions without stating that they are complete. */
    @Test
    void recordsWithoutAStatementProveNothing() {
        topic.values.put("1", (SERVICE + "\nv1").getBytes(StandardCharsets.UTF_8));
        list("old", "v1");
        assertThat(find()).isEmpty();
        advance(EndpointTable.RETENTION_MS + ServedVersionTable.CHECK_INTERVAL_MS);
        assertThat(find()).containsExactly("v1");
    }

    /** What became known, or was lost, while a write was on its way was never written. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void recordsAreWrittenThoughAWriteIsAcknowledgedLate(boolean restored) {
        topic.values.put("1", (SERVICE + "\nv1").getBytes(StandardCharsets.UTF_8));
        list("old", "v1");
        advance(EndpointTable.RETENTION_MS / 2);
        Runnable restore = copyRecords();
        topic.heldWrites = new ArrayList<>();
        list("new", "v2");
        advance(ServedVersionTable.CHECK_INTERVAL_MS);
        if (restored) {
            restore.run();
            table.storeRestored();
        }
        advance(EndpointTable.RETENTION_MS);
        topic.heldWrites.remove(0).run();
        topic.heldWrites = null;
        advance(ServedVersionTable.CHECK_INTERVAL_MS);
        assertThat(topic.texts()).contains(SERVICE + "\nv1", SERVICE + "\nv2", restored ? "1" : "0");
    }
}
