package org.quetzalvane.core.team;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.quetzalvane.core.event.EventCode;
import org.quetzalvane.core.event.StructuredLog;
import org.quetzalvane.core.time.ManualScheduler;

import static org.assertj.core.api.Assertions.assertThat;

/** Origins of streams over the loss of all nodes, on the paused clock. */
class StreamOriginArchiveTest {
    private static final String UNKNOWN = "unknown";

    private final ManualScheduler clock = new ManualScheduler();
    private final FakeWritableTopic topic = new FakeWritableTopic();
    private final List<EventCode> logged = new ArrayList<>();
    private StreamOriginTable origins;
    private StreamOriginArchive archive;
    private boolean[] writer = {true};

    StreamOriginArchiveTest() {
        start();
    }

    private void start() {
        StructuredLog log = (code, subject, fields) -> logged.add(code);
        boolean[] isWriter = writer;
        origins = new StreamOriginTable(clock, "h1", Set::of, (peer, message) -> false);
        archive = new StreamOriginArchive(clock, topic, origins, () -> isWriter[0], log);
        archive.start();
    }

    /** Loses what all nodes know; the store and the clock go on. */
    private void restartAllNodes(boolean asWriter) {
        writer[0] = false;
        advance(StreamOriginArchive.WRITE_INTERVAL_MS);
        writer = new boolean[] {asWriter};
        start();
    }

    private void advance(long ms) {
        clock.advance(Duration.ofMillis(ms));
    }

    private String find(String request) {
        List<String> found = new ArrayList<>();
        archive.find(request, v -> found.add(v == null ? UNKNOWN : v));
        advance(StreamOriginArchive.LOOKUP_TIMEOUT_MS);
        assertThat(found).hasSize(1);
        return found.get(0);
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void originsRecordedBeforeAndAfterTheFirstWriteOutliveAllNodes(boolean restartedAsWriter) {
        origins.record("before", "v1");
        advance(StreamOriginArchive.WRITE_INTERVAL_MS);
        origins.record("after", "v2");
        advance(StreamOriginArchive.WRITE_INTERVAL_MS);
        restartAllNodes(restartedAsWriter);
        assertThat(find("before")).isEqualTo("v1");
        assertThat(find("after")).isEqualTo("v2");
        assertThat(find("never-seen")).isEqualTo(UNKNOWN);
    }

    /** The records of an earlier writer are overwritten, so the next writer must keep what they hold. */
    @Test
    void originsOutliveTwoLossesOfAllNodes() {
        origins.record("first", "v1");
        advance(StreamOriginArchive.WRITE_INTERVAL_MS);
        restartAllNodes(true);
        advance(StreamOriginArchive.WRITE_INTERVAL_MS);
        for (int i = 0; i < 2 * StreamOriginArchive.SLOTS / 3; i++) {
            origins.record("second-" + i, "v2");
            advance(StreamOriginArchive.WRITE_INTERVAL_MS);
        }
        restartAllNodes(false);
        assertThat(find("first")).isEqualTo("v1");
        assertThat(find("second-0")).isEqualTo("v2");
    }

    @Test
    void originIsKeptForLongerThanAStreamLasts() {
        advance(StreamOriginArchive.WRITE_INTERVAL_MS);
        origins.record("first", "v1");
        for (long ms = 0; ms < StreamOriginTable.RETENTION_MS; ms += StreamOriginArchive.WRITE_INTERVAL_MS) {
            advance(StreamOriginArchive.WRITE_INTERVAL_MS);
            origins.record("later-" + ms, "v2");
        }
        restartAllNodes(false);
        assertThat(find("first")).isEqualTo("v1");
        assertThat(topic.values.size()).isLessThanOrEqualTo(StreamOriginArchive.SLOTS);
    }

    @Test
    void failedWriteIsRepeated() {
        advance(StreamOriginArchive.WRITE_INTERVAL_MS);
        topic.away = true;
        origins.record("first", "v1");
        advance(2 * StreamOriginArchive.WRITE_INTERVAL_MS);
        topic.away = false;
        origins.record("second", "v1");
        advance(StreamOriginArchive.WRITE_INTERVAL_MS);
        restartAllNodes(false);
        assertThat(find("first")).isEqualTo("v1");
        assertThat(find("second")).isEqualTo("v1");
    }

    @Test
    void nothingIsWrittenWhileOriginsNeedNotBeKept() {
        restartAllNodes(false);
        topic.reads = 0;
        origins.record("first", "v1");
        advance(10 * StreamOriginArchive.WRITE_INTERVAL_MS);
        assertThat(topic.writes + topic.reads).isZero();
    }

    @Test
    void allOriginsAreWrittenAgainAfterTheStoreCameBackWithoutThem() {
        origins.record("first", "v1");
        advance(StreamOriginArchive.WRITE_INTERVAL_MS);
        topic.values.clear();
        archive.storeRestored();
        advance(StreamOriginArchive.WRITE_INTERVAL_MS);
        restartAllNodes(false);
        assertThat(find("first")).isEqualTo("v1");
    }

    @Test
    void lookupEndsAsUnknownOnceIfTheStoreAnswersLate() {
        writer[0] = false;
        topic.held = new ArrayList<>();
        assertThat(find("first")).isEqualTo(UNKNOWN);
        topic.held.forEach(Runnable::run);
    }

    /** Lookups of one moment share a read, and further ones its result for a while. */
    @Test
    void readsAreShared() {
        restartAllNodes(false);
        topic.reads = 0;
        for (int i = 0; i < 100; i++) {
            archive.find("never-seen-" + i, v -> assertThat(v).isNull());
        }
        assertThat(topic.reads).isEqualTo(1);
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "a", "\0\0\0\u0009v1", "\0\0\0\u0002v1abc", "\u007f\0\0\0v1"})
    void malformedRecordIsLoggedAndSkipped(String value) {
        origins.record("first", "v1");
        advance(StreamOriginArchive.WRITE_INTERVAL_MS);
        topic.values.put("malformed", value.getBytes());
        restartAllNodes(false);
        assertThat(find("first")).isEqualTo("v1");
        assertThat(logged).contains(EventCode.BAD_RECORD);
    }
}
