package org.quetzalvane.core.store;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.quetzalvane.core.time.ManualScheduler;
import org.quetzalvane.core.time.SuspendableMachine;

import static org.assertj.core.api.Assertions.assertThat;

class RecordFollowerTest {
    private final ManualScheduler clock = new ManualScheduler();
    private final FakeTopic topic = new FakeTopic();
    private final List<String> received = new ArrayList<>();
    private final List<String> events = new ArrayList<>();
    private final RecordFollower follower = new RecordFollower(
            clock,
            topic,
            (code, subject, fields) -> events.add(code.name()),
            1_000,
            100,
            r -> received.add(r.key() + "=" + (r.value() == null ? "-" : new String(r.value()))));

    private static StoreRecord record(String key, String value, long offset) {
        return new StoreRecord(key, value == null ? null : value.getBytes(), offset);
    }

    @BeforeEach
    void start() {
        follower.start();
        topic.respond(KeyedTopic.ReadResult.ok(List.of(record("a", "1", 0), record("b", "1", 1)), 2));
    }

    @Test
    void onlyNewerRecordsArePassedOnAndEachOnce() {
        topic.respond(KeyedTopic.ReadResult.ok(List.of(record("a", "2", 2)), 3));
        clock.advance(Duration.ofMillis(100));
        topic.respond(KeyedTopic.ReadResult.expired());
        topic.respond(KeyedTopic.ReadResult.ok(List.of(record("a", "1", 0), record("b", "1", 1)), 2));
        assertThat(received).containsExactly("a=1", "b=1", "a=2");
        assertThat(topic.lastOffset).isEqualTo(3);
    }

    /** Work that depends on all records is not repeated for each record of a batch. */
    @Test
    void batchListenerRunsOnceForAllNewerRecordsOfAResponseAndBeforeTheyArePassedOn() {
        follower.onBatchApplied(() -> received.add("batch"));
        follower.exchange(() -> false, () -> 0, records -> received.add("passed on " + records.size()));
        received.clear();
        topic.respond(KeyedTopic.ReadResult.ok(List.of(record("a", "2", 2), record("b", "2", 3)), 4));
        clock.advance(Duration.ofMillis(100));
        topic.respond(KeyedTopic.ReadResult.ok(List.of(record("a", "2", 2)), 4));
        assertThat(received).containsExactly("a=2", "b=2", "batch", "passed on 2");
    }

    @Test
    void recordsArePassedOnThoughTheBatchListenerFails() {
        follower.onBatchApplied(() -> {
            throw new IllegalStateException("batch");
        });
        follower.exchange(() -> false, () -> 0, records -> received.add("passed on " + records.size()));
        topic.respond(KeyedTopic.ReadResult.ok(List.of(record("a", "2", 2)), 3));
        assertThat(received).endsWith("a=2", "passed on 1");
        assertThat(events).contains("TASK_FAILED");
    }

    @Test
    void listenerThatFailsOnOneRecordReceivesTheNext() {
        FakeTopic other = new FakeTopic();
        RecordFollower f =
                new RecordFollower(clock, other, (code, subject, fields) -> events.add(code.name()), 1_000, 100, r -> {
                    if (r.value() == null) {
                        throw new IllegalStateException("removed");
                    }
                    received.add(r.key());
                });
        f.start();
        other.respond(KeyedTopic.ReadResult.ok(List.of(record("x", "1", 0)), 1));
        other.respond(KeyedTopic.ReadResult.ok(List.of(record("x", null, 1)), 2));
        clock.advance(Duration.ofMillis(100));
        other.respond(KeyedTopic.ReadResult.ok(List.of(record("y", "1", 2)), 3));
        assertThat(received).endsWith("x", "y");
        assertThat(events).containsExactly("TASK_FAILED");
    }

    @Test
    void keyMissingFromANewerListingIsRemoved() {
        topic.respond(KeyedTopic.ReadResult.expired());
        topic.respond(KeyedTopic.ReadResult.ok(List.of(record("a", "9", 7)), 8));
        assertThat(received).containsExactly("a=1", "b=1", "a=9", "b=-");
    }

    @Test
    void recordsAreKeptThroughAnOutageThatIsLoggedOnce() {
        for (int i = 0; i < 5; i++) {
            topic.respond(KeyedTopic.ReadResult.failed("status 503"));
            clock.advance(Duration.ofSeconds(1));
        }
        assertThat(follower.records().records()).hasSize(2);
        topic.respond(KeyedTopic.ReadResult.ok(List.of(), 2));
        assertThat(events).containsExactly("STORE_LOST", "STORE_BACK");
    }

    @Test
    void recordsOfAPeerAreAppliedDuringAnOutageUnlessOlder() {
        RecordFollower fresh =
                new RecordFollower(clock, new FakeTopic(), (c, s, f) -> {}, 1_000, 100, r -> received.add(r.key()));
        assertThat(fresh.initialized()).isFalse();
        fresh.applyFromPeer(new PeerRecords(List.of(record("a", "5", 9)), 10));
        fresh.applyFromPeer(new PeerRecords(List.of(record("a", "4", 8)), 9));
        assertThat(fresh.initialized()).isTrue();
        assertThat(fresh.records().records()).extracting(StoreRecord::offset).containsExactly(9L);
    }

    /** A relayed record of one endpoint made a starting node ready that knew no other endpoint. */
    @Test
    void recordsThatAPeerHasJustAppliedDoNotInitializeTheState() {
        RecordFollower fresh =
                new RecordFollower(clock, new FakeTopic(), (c, s, f) -> {}, 1_000, 100, r -> received.add(r.key()));
        fresh.applyFromPeer(List.of(record("a", "5", 9)));
        assertThat(fresh.initialized()).isFalse();
        assertThat(fresh.records().endOffset()).isZero();
    }

    /** A hub that listed the store after a removal does not know the removed key; its members kept the key. */
    @Test
    void keyMissingFromANewerListOfAPeerIsRemoved() {
        follower.applyFromPeer(new PeerRecords(List.of(record("a", "9", 7)), 8));
        assertThat(received).containsExactly("a=1", "b=1", "a=9", "b=-");
    }

    /** An older list, or one of a node that does not state its end offset, removes nothing. */
    @ParameterizedTest
    @CsvSource({"0", "1"})
    void keyMissingFromAnOlderListOfAPeerIsKept(long endOffset) {
        follower.applyFromPeer(new PeerRecords(List.of(record("a", "1", 0)), endOffset));
        assertThat(received).containsExactly("a=1", "b=1");
    }

    /** The removal had the offset of the next record, which was then taken for an older one. */
    @Test
    void keyThatAListingLacksIsUsedAgainOnceItIsWritten() {
        topic.respond(KeyedTopic.ReadResult.expired());
        topic.respond(KeyedTopic.ReadResult.ok(List.of(record("a", "9", 7)), 8));
        topic.respond(KeyedTopic.ReadResult.ok(List.of(record("b", "2", 8)), 9));
        assertThat(received).endsWith("b=-", "b=2");
    }

    /** The time since the start of the clock was stated, which made a node that never heard the store look current. */
    @Test
    void storeThatNeverAnsweredIsNotRecent() {
        RecordFollower fresh = new RecordFollower(clock, new FakeTopic(), (c, s, f) -> {}, 1_000, 100, r -> {});
        assertThat(fresh.msSinceLastResponse()).isGreaterThan(3_600_000);
    }

    /** The time for which the machine was suspended was left out of the age of the records. */
    @Test
    void ageOfTheRecordsIncludesTheTimeForWhichTheMachineWasSuspended() {
        SuspendableMachine machine = new SuspendableMachine(clock);
        FakeTopic other = new FakeTopic();
        RecordFollower f = new RecordFollower(machine, other, (c, s, x) -> {}, 1_000, 100, r -> {});
        f.start();
        other.respond(KeyedTopic.ReadResult.ok(List.of(), 0));
        machine.suspend(60_000);
        assertThat(f.msSinceLastResponse()).isEqualTo(60_000);
    }

    @Test
    void storeIsNotReadWhileAnotherNodePassesTheRecordsOn() {
        boolean[] passedOn = {true};
        follower.exchange(() -> passedOn[0], () -> 0, records -> {});
        topic.respond(KeyedTopic.ReadResult.ok(List.of(), 2));
        clock.advance(Duration.ofSeconds(10));
        assertThat(topic.open).isEmpty();
        follower.applyFromPeer(List.of(record("a", "2", 2)));
        passedOn[0] = false;
        clock.advance(Duration.ofMillis(100));
        assertThat(topic.open).hasSize(1);
        assertThat(topic.lastOffset).isEqualTo(2);
        topic.respond(KeyedTopic.ReadResult.expired());
        topic.respond(KeyedTopic.ReadResult.ok(List.of(record("a", "2", 2), record("b", "3", 4)), 5));
        assertThat(received).containsExactly("a=1", "b=1", "a=2", "b=3");
    }

    @Test
    void onlyNewerRecordsArePassedOnToOtherNodes() {
        List<String> passed = new ArrayList<>();
        follower.exchange(() -> false, () -> 0, records -> records.forEach(r -> passed.add(r.key() + r.offset())));
        topic.respond(KeyedTopic.ReadResult.ok(List.of(record("a", "1", 0), record("b", "2", 2)), 3));
        follower.applyFromPeer(List.of(record("b", "1", 1), record("c", "1", 4)));
        assertThat(passed).containsExactly("b2", "c4");
        assertThat(follower.appliedOffset()).isEqualTo(4);
    }

    /** Keys that the copy lacks are kept while they may be written again; era 2 has greater positions than era 1. */
    @ParameterizedTest
    @CsvSource({"true, 'a=1,b=1,a=1,b=2'", "false, 'a=1,b=1,a=1,b=-'"})
    void keyThatTheStoreLostIsRemovedOnlyIfItIsNotWrittenAgain(boolean writtenAgain, String expected) {
        topic.respond(KeyedTopic.ReadResult.restored());
        topic.respond(KeyedTopic.ReadResult.ok(List.of(record("a", "1", 1_000)), 1_001));
        assertThat(received).containsExactly("a=1", "b=1", "a=1");
        List<StoreRecord> rewritten = writtenAgain ? List.of(record("b", "2", 1_001)) : List.of();
        topic.respond(KeyedTopic.ReadResult.ok(rewritten, 1_001 + rewritten.size()));
        clock.advance(Duration.ofMillis(RecordFollower.REWRITE_MS));
        List<StoreRecord> all = new ArrayList<>(List.of(record("a", "1", 1_000)));
        all.addAll(rewritten);
        respondToListing(KeyedTopic.ReadResult.ok(all, 1_010));
        assertThat(received).containsExactly(expected.split(","));
    }

    /** The time for writing again starts anew with the second restore. */
    @Test
    void secondRestoreExtendsTheTimeForWritingAgain() {
        topic.respond(KeyedTopic.ReadResult.restored());
        topic.respond(KeyedTopic.ReadResult.ok(List.of(), 1_000));
        clock.advance(Duration.ofMillis(RecordFollower.REWRITE_MS - 100));
        topic.respond(KeyedTopic.ReadResult.restored());
        respondToListing(KeyedTopic.ReadResult.ok(List.of(), 2_000));
        clock.advance(Duration.ofMillis(RecordFollower.REWRITE_MS - 100));
        assertThat(topic.listings).isEqualTo(3);
        clock.advance(Duration.ofMillis(100));
        assertThat(topic.listings).isEqualTo(4);
    }

    /** A restore must not start a herd: each follower lists the records twice in the ten seconds after it. */
    @Test
    void restoreCausesTwoListings() {
        int before = topic.listings;
        topic.respond(KeyedTopic.ReadResult.restored());
        for (int i = 0; i < 1_000; i++) {
            clock.advance(Duration.ofMillis(10));
            while (!topic.open.isEmpty()) {
                topic.respond(KeyedTopic.ReadResult.ok(List.of(record("a", "1", 1_000 + i)), 1_001 + i));
            }
        }
        assertThat(topic.listings - before).isEqualTo(2);
    }

    /** Responds to the newest call, which is the listing; the reads before it stay open. */
    private void respondToListing(KeyedTopic.ReadResult page) {
        topic.open.removeLast().accept(page);
    }

    /** Fake that keeps each call open until the test responds to it. */
    private static final class FakeTopic implements KeyedTopic {
        private final Deque<Consumer<ReadResult>> open = new ArrayDeque<>();
        private long lastOffset;
        private int listings;

        void respond(ReadResult page) {
            open.remove().accept(page);
        }

        @Override
        public String name() {
            return "topic";
        }

        @Override
        public void readNewest(Consumer<ReadResult> done) {
            listings++;
            open.add(done);
        }

        @Override
        public void read(long offset, long waitMs, Consumer<ReadResult> done) {
            lastOffset = offset;
            open.add(done);
        }
    }
}
