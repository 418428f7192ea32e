package org.quetzalvane.core.store;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.quetzalvane.core.time.ManualScheduler;

import static org.assertj.core.api.Assertions.assertThat;

/** Lookups that share the reads of a topic, some of which get no response. */
class SharedReadTest {
    private static final long TIMEOUT_MS = 300;

    private final ManualScheduler clock = new ManualScheduler();
    private final Deque<Consumer<KeyedTopic.ReadResult>> open = new ArrayDeque<>();
    private final List<String> done = new ArrayList<>();
    private boolean failing;
    private int received;
    private final SharedRead reads =
            new SharedRead(clock, new OpenTopic(), Duration.ofMillis(TIMEOUT_MS), page -> received++);

    private void advance(long ms) {
        clock.advance(Duration.ofMillis(ms));
    }

    private void lookUp(String name) {
        reads.then(read -> done.add(name + "=" + read));
    }

    private void respond() {
        open.removeLast().accept(KeyedTopic.ReadResult.ok(List.of(), 0));
    }

    @Test
    void lookupsThatWaitShareTheNextRead() {
        lookUp("a");
        lookUp("b");
        lookUp("c");
        assertThat(open).hasSize(1);
        respond();
        assertThat(done).containsExactly("a=true");
        respond();
        assertThat(done).containsExactly("a=true", "b=true", "c=true");
        assertThat(open).isEmpty();
        advance(TIMEOUT_MS);
        assertThat(done).hasSize(3);
    }

    /** A read that the store lost made all lookups fail until it was given up, though the store answered again. */
    @ParameterizedTest
    @CsvSource({"300", "700"})
    void lookupAfterALostReadIsAnsweredAtOnce(long afterMs) {
        lookUp("lost");
        advance(afterMs);
        lookUp("next");
        assertThat(open).hasSize(2);
        respond();
        assertThat(done).containsExactly("lost=false", "next=true");
    }

    /** A lookup that came shortly before the lost read timed out had to fail, though a second read would have served. */
    @Test
    void lookupThatWaitsForALostReadIsReadOnceThatTimesOut() {
        lookUp("lost");
        advance(TIMEOUT_MS / 2);
        lookUp("next");
        advance(TIMEOUT_MS / 2);
        assertThat(open).hasSize(2);
        respond();
        assertThat(done).containsExactly("lost=false", "next=true");
    }

    /** The response of an overdue read is still processed, and does not start or answer other lookups. */
    @Test
    void lateResponseIsProcessedAndAnswersNoOtherLookup() {
        lookUp("lost");
        advance(TIMEOUT_MS);
        lookUp("next");
        open.removeFirst().accept(KeyedTopic.ReadResult.ok(List.of(), 0));
        assertThat(received).isEqualTo(1);
        assertThat(done).containsExactly("lost=false");
        lookUp("third");
        assertThat(open).hasSize(1);
        respond();
        respond();
        assertThat(done).containsExactly("lost=false", "next=true", "third=true");
    }

    /** A call that threw left the reader waiting for its response for good. */
    @Test
    void lookupAfterACallThatThrewIsRead() {
        failing = true;
        lookUp("failed");
        assertThat(done).containsExactly("failed=false");
        failing = false;
        lookUp("next");
        respond();
        assertThat(done).containsExactly("failed=false", "next=true");
    }

    private final class OpenTopic implements KeyedTopic {
        @Override
        public String name() {
            return "topic";
        }

        @Override
        public void readNewest(Consumer<ReadResult> callback) {
            if (failing) {
                throw new IllegalStateException("no descriptors left");
            }
            open.add(callback);
        }

        @Override
        public void read(long offset, long waitMs, Consumer<ReadResult> callback) {
            throw new UnsupportedOperationException();
        }
    }
}
