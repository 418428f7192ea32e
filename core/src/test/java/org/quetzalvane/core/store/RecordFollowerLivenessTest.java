package org.quetzalvane.core.store;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.quetzalvane.core.time.ManualScheduler;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/** A follower goes on reading whatever fails around it: one that stopped kept an old configuration for good. */
class RecordFollowerLivenessTest {
    /** Time within which a record must be applied after the cause has gone, ms. */
    private static final long APPLY_MS = 2_000;

    private final ManualScheduler clock = new ManualScheduler();
    private final FailingTopic topic = new FailingTopic();
    private final List<String> received = new ArrayList<>();
    private Runnable inListener = () -> {};
    private final RecordFollower follower = new RecordFollower(clock, topic, (c, s, f) -> {}, 1_000, 0, r -> {
        received.add(r.key());
        inListener.run();
    });

    private static KeyedTopic.ReadResult page(String key, long offset) {
        return KeyedTopic.ReadResult.ok(List.of(new StoreRecord(key, new byte[1], offset)), offset + 1);
    }

    private static void fail() {
        throw new IllegalStateException("no descriptors left");
    }

    private void advance(long ms) {
        clock.advance(Duration.ofMillis(ms));
    }

    private void startFollowing() {
        follower.start();
        topic.respond(page("a", 0));
        advance(0);
    }

    private void assertFollows(String key, long offset) {
        advance(APPLY_MS);
        topic.respond(page(key, offset));
        assertThat(received).contains(key);
        advance(APPLY_MS);
        assertThat(topic.open).as("next call").isNotEmpty();
    }

    /** A call of the store that fails at once, without a callback. */
    private enum FailedCall {
        LISTING,
        READ,
        LISTING_AFTER_EXPIRY
    }

    @ParameterizedTest
    @EnumSource
    void callThatThrowsIsSentAgain(FailedCall call) {
        if (call != FailedCall.LISTING) {
            startFollowing();
        }
        topic.inCall = RecordFollowerLivenessTest::fail;
        switch (call) {
            case LISTING -> follower.start();
            case READ -> topic.respond(page("b", 1));
            default -> topic.respond(KeyedTopic.ReadResult.expired());
        }
        advance(5_000);
        topic.inCall = () -> {};
        topic.open.clear();
        assertFollows("c", 2);
    }

    /** A call that gets neither a response nor a failure. */
    @ParameterizedTest
    @EnumSource
    void callWithoutACallbackIsSentAgain(FailedCall call) {
        follower.start();
        if (call != FailedCall.LISTING) {
            topic.respond(page("a", 0));
        }
        if (call == FailedCall.LISTING_AFTER_EXPIRY) {
            topic.respond(KeyedTopic.ReadResult.expired());
        }
        assertThat(topic.open).hasSize(1);
        topic.open.clear();
        assertFollows("c", 2);
    }

    /** Where a failure of the node itself happens while a response is processed. */
    private enum FailedStep {
        LISTENER_ERROR,
        RELAY,
        RELAY_DECISION,
        RELAY_DECISION_ERROR
    }

    @ParameterizedTest
    @EnumSource
    void failureWhileAResponseIsProcessedDoesNotEndTheReads(FailedStep step) {
        boolean[] failing = {false};
        Runnable error = () -> {
            if (failing[0]) {
                throw new StackOverflowError();
            }
        };
        Runnable exception = () -> {
            if (failing[0]) {
                fail();
            }
        };
        inListener = step == FailedStep.LISTENER_ERROR ? error : () -> {};
        Runnable decision = step == FailedStep.RELAY_DECISION
                ? exception
                : step == FailedStep.RELAY_DECISION_ERROR ? error : () -> {};
        follower.exchange(
                () -> {
                    decision.run();
                    return false;
                },
                () -> 0,
                records -> {
                    if (step == FailedStep.RELAY) {
                        exception.run();
                    }
                });
        startFollowing();
        failing[0] = true;
        assertThatNoneOrErrorOf(step, () -> {
            topic.respond(page("b", 1));
            advance(0);
        });
        failing[0] = false;
        topic.open.clear();
        assertFollows("c", 2);
    }

    /** An error, unlike an exception, reaches the event loop, which logs it. */
    private static void assertThatNoneOrErrorOf(FailedStep step, Runnable task) {
        if (step == FailedStep.LISTENER_ERROR || step == FailedStep.RELAY_DECISION_ERROR) {
            assertThatThrownBy(task::run).isInstanceOf(StackOverflowError.class);
        } else {
            task.run();
        }
    }

    /** Removed keys stayed in use for good if the listing after a restore got no response. */
    @Test
    void listingAfterARestoreWithoutACallbackIsSentAgain() {
        startFollowing();
        topic.respond(KeyedTopic.ReadResult.restored());
        topic.respond(page("b", 1_000));
        advance(RecordFollower.REWRITE_MS);
        topic.open.clear();
        advance(APPLY_MS);
        topic.open.forEach(call -> call.accept(page("b", 1_000)));
        assertThat(follower.records().records())
                .filteredOn(r -> r.value() == null)
                .extracting(StoreRecord::key)
                .containsExactly("a");
    }

    /** Keeps each call open until the test responds to it, or fails it at once. */
    private static final class FailingTopic implements KeyedTopic {
        private final Deque<Consumer<ReadResult>> open = new ArrayDeque<>();
        private Runnable inCall = () -> {};

        void respond(ReadResult page) {
            open.remove().accept(page);
        }

        @Override
        public String name() {
            return "topic";
        }

        @Override
        public void readNewest(Consumer<ReadResult> done) {
            inCall.run();
            open.add(done);
        }

        @Override
        public void read(long offset, long waitMs, Consumer<ReadResult> done) {
            inCall.run();
            open.add(done);
        }
    }
}
