package org.quetzalvane.core.team;

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
import org.quetzalvane.core.time.ManualScheduler;

import static org.assertj.core.api.Assertions.assertThat;

/** Software versions that serve, over the loss of all nodes, on the paused clock. */
class ServedVersionTableTest {
    private static final StructuredLog NO_LOG = (code, subject, fields) -> {};
    private static final String SERVICE = "engines";

    private final ManualScheduler clock = new ManualScheduler();
    private final FakeWritableTopic topic = new FakeWritableTopic();
    private EndpointTable endpoints = new EndpointTable(clock);
    private boolean listCurrent = true;
    private boolean writer = true;
    private ServedVersionTable table = start();

    private ServedVersionTable start() {
        ServedVersionTable t = new ServedVersionTable(clock, topic, endpoints, () -> listCurrent, () -> writer, NO_LOG);
        t.start();
        return t;
    }

    /** Loses what all nodes know; the store and the clock go on. */
    private void restartAllNodes() {
        writer = false;
        advance(ServedVersionTable.CHECK_INTERVAL_MS);
        writer = true;
        endpoints = new EndpointTable(clock);
        table = start();
    }

    private void list(String id, String softwareVersion) {
        endpoints.apply(
                new Endpoint(id, SERVICE, "10.0.0.1", 80, "a", softwareVersion, Endpoint.State.READY, 4, 1, Map.of()));
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
        endpoints.entryRemoved("old");
        advance(EndpointTable.RETENTION_MS / 2);
        restartAllNodes();
        list("new", "v2");
        advance(EndpointTable.RETENTION_MS / 2);
        assertThat(find()).containsExactlyInAnyOrder("v1", "v2");
        advance(EndpointTable.RETENTION_MS);
        assertThat(find()).containsExactly("v2");
        assertThat(topic.texts()).containsExactly(SERVICE + "\nv2");
    }

    @ParameterizedTest
    @CsvSource({"true, false", "false, true", "false, false"})
    void nothingIsFoundWhileTheListIsOutdatedOrTheRecordsCannotBeRead(boolean current, boolean storeAnswers) {
        list("old", "v1");
        advance(ServedVersionTable.CHECK_INTERVAL_MS);
        restartAllNodes();
        list("new", "v1");
        listCurrent = current;
        topic.away = !storeAnswers;
        assertThat(find()).isEmpty();
    }

    /** The first answer of the store to come late must not answer a lookup twice. */
    @Test
    void lookupEndsOnceAlthoughTheStoreAnswersLate() {
        list("old", "v1");
        topic.held = new ArrayList<>();
        assertThat(find()).isEmpty();
        List<Runnable> answers = topic.held;
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
        assertThat(topic.texts()).containsExactly(SERVICE + "\nv1");
    }

    @Test
    void nothingIsWrittenOrReadWhileTheVersionsStayTheSame() {
        list("old", "v1");
        advance(EndpointTable.RETENTION_MS);
        assertThat(topic.writes).isEqualTo(1);
        assertThat(topic.reads).isEqualTo(1);
    }
}
