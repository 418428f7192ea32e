package org.quetzalvane.core.team;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.quetzalvane.core.store.KeyedTopic;
import org.quetzalvane.core.store.RecordFollower;
import org.quetzalvane.core.store.StoreRecord;
import org.quetzalvane.core.time.ManualScheduler;

import static org.assertj.core.api.Assertions.assertThat;

/** A node that starts while the store is away must not use the records of a single peer, which may be out of date. */
class StartupRecordsTest {
    private static final String TOPIC = "endpoints";

    private final ManualScheduler clock = new ManualScheduler();
    private final SilentTopic store = new SilentTopic();
    private final List<String> applied = new ArrayList<>();
    private final List<String> requested = new ArrayList<>();
    private final Set<String> connected = new HashSet<>(Set.of("p1", "p2"));
    private final RecordFollower follower = new RecordFollower(
            clock,
            store,
            (code, subject, fields) -> {},
            1_000,
            100,
            r -> applied.add(r.key() + "=" + (r.value() == null ? "-" : new String(r.value()))));
    private final StartupRecords startup =
            new StartupRecords(clock, Map.of(TOPIC, follower), () -> Set.of("p1", "p2"), this::request);

    @BeforeEach
    void start() {
        follower.start();
        startup.start();
        clock.advance(Duration.ofMillis(500));
    }

    private boolean request(String peer) {
        return connected.contains(peer) && requested.add(peer);
    }

    private static StoreRecord record(String key, String value, long offset) {
        return new StoreRecord(key, value == null ? null : value.getBytes(), offset);
    }

    private void answer(String peer, long endOffset, StoreRecord... records) {
        startup.onRecords(new PeerMessage.Records(peer, TOPIC, true, List.of(records), endOffset), false);
    }

    @Test
    void newestRecordOfAllAnswersIsUsed() {
        answer("p1", 6, record("config", "1", 5));
        assertThat(applied).isEmpty();
        answer("p2", 9, record("config", "2", 8));
        assertThat(applied).containsExactly("config=2");
    }

    /** The newer peer knows the removal, or listed the store after it and does not know the key at all. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void removedKeyDoesNotComeBackFromAnOlderAnswer(boolean removalKnown) {
        answer("p1", 6, record("a", "1", 4), record("b", "1", 5));
        if (removalKnown) {
            answer("p2", 9, record("a", "2", 6), record("b", null, 8));
        } else {
            answer("p2", 9, record("a", "2", 6));
        }
        assertThat(applied).containsExactlyInAnyOrder("a=2", "b=-");
    }

    @Test
    void silentPeerIsWaitedForAtMostOneSecond() {
        answer("p1", 6, record("a", "1", 5));
        clock.advance(Duration.ofMillis(999));
        assertThat(follower.initialized()).isFalse();
        clock.advance(Duration.ofMillis(1));
        assertThat(applied).containsExactly("a=1");
        assertThat(follower.initialized()).isTrue();
    }

    @Test
    void peerThatIsConnectedAfterTheFirstRequestIsAskedAsWell() {
        connected.clear();
        requested.clear();
        StartupRecords late =
                new StartupRecords(clock, Map.of(TOPIC, follower), () -> Set.of("p1", "p2"), this::request);
        late.start();
        connected.add("p1");
        clock.advance(Duration.ofMillis(500));
        connected.add("p2");
        clock.advance(Duration.ofMillis(100));
        assertThat(requested).containsExactly("p1", "p2");
    }

    @Test
    void peersThatKnewNothingAreAskedAgain() {
        clock.advance(Duration.ofMillis(1_100));
        assertThat(requested).containsExactlyInAnyOrder("p1", "p2", "p1", "p2");
    }

    @Test
    void listingOfTheStoreIsUsedAtOnceAndWithoutRequests() {
        requested.clear();
        store.pending.accept(KeyedTopic.ReadResult.ok(List.of(record("a", "3", 9)), 10));
        assertThat(applied).containsExactly("a=3");
        answer("p1", 6, record("a", "1", 5));
        clock.advance(Duration.ofSeconds(3));
        assertThat(applied).containsExactly("a=3");
        assertThat(requested).isEmpty();
    }

    @Test
    void listOfAHubThatHearsTheStoreIsUsedAtOnce() {
        startup.onRecords(new PeerMessage.Records("p1", TOPIC, true, List.of(record("a", "1", 5)), 6), true);
        assertThat(applied).containsExactly("a=1");
    }

    /** Store that answers a listing only when the test does. */
    private static final class SilentTopic implements KeyedTopic {
        private Consumer<ReadResult> pending;

        @Override
        public String name() {
            return TOPIC;
        }

        @Override
        public void readNewest(Consumer<ReadResult> done) {
            pending = done;
        }

        @Override
        public void read(long offset, long waitMs, Consumer<ReadResult> done) {
            pending = done;
        }
    }
}
