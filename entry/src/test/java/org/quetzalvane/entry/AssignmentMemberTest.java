package org.quetzalvane.entry;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Set;
import java.util.function.Consumer;

import org.junit.jupiter.api.Test;
import org.quetzalvane.core.store.AssignmentGroup;
import org.quetzalvane.core.team.AssignmentLease;
import org.quetzalvane.core.team.PeerTable;
import org.quetzalvane.core.time.ManualScheduler;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/** A member goes on joining whatever fails around it: one that stopped lost its partitions for good. */
class AssignmentMemberTest {
    private static final String SELF = "10.0.0.0:1";
    /** Time after which the group assigns the partitions of a member that does not join to others, ms. */
    private static final long TTL_MS = 3_000;

    private final ManualScheduler clock = new ManualScheduler();
    private final OpenGroup group = new OpenGroup();
    private final PeerTable peers = new PeerTable(clock, SELF, Set.of());
    private Runnable changed = () -> {};
    private final AssignmentMember member = new AssignmentMember(
            clock,
            group,
            new AssignmentLease(clock, true, TTL_MS, 4, peers),
            peers,
            (code, subject, fields) -> {},
            new AssignmentMember.Membership(SELF, TTL_MS),
            new AssignmentMember.Listeners(() -> changed.run(), () -> {}));

    private void assertJoinsAgainWithinItsTtl() {
        clock.advance(Duration.ofMillis(TTL_MS - 1));
        assertThat(group.joins).isNotEmpty();
    }

    private static void fail() {
        throw new IllegalStateException("no descriptors left");
    }

    @Test
    void joinWithoutACallbackIsSentAgain() {
        member.setActive(true);
        assertThat(group.joins).hasSize(1);
        group.joins.clear();
        assertJoinsAgainWithinItsTtl();
    }

    @Test
    void joinThatThrowsIsSentAgain() {
        group.inCall = AssignmentMemberTest::fail;
        assertThatThrownBy(() -> member.setActive(true)).hasMessage("no descriptors left");
        group.inCall = () -> {};
        assertJoinsAgainWithinItsTtl();
    }

    @Test
    void joinFollowsThoughTheListenerFails() {
        changed = AssignmentMemberTest::fail;
        member.setActive(true);
        Consumer<AssignmentGroup.Assignment> first = group.joins.remove();
        assertThatThrownBy(() -> first.accept(new AssignmentGroup.Assignment(1, Set.of(0))))
                .hasMessage("no descriptors left");
        assertJoinsAgainWithinItsTtl();
    }

    /** Two joins in progress must not become two chains of joins. */
    @Test
    void lateResponseDoesNotStartAnotherChainOfJoins() {
        member.setActive(true);
        clock.advance(Duration.ofMillis(TTL_MS - 1));
        assertThat(group.joins).hasSizeGreaterThan(1);
        while (!group.joins.isEmpty()) {
            group.joins.remove().accept(new AssignmentGroup.Assignment(1, Set.of(0)));
        }
        clock.advance(Duration.ofMillis(700));
        assertThat(group.joins).hasSize(1);
    }

    /** Keeps each join open until the test responds to it, or fails it at once. */
    private static final class OpenGroup implements AssignmentGroup {
        private final Deque<Consumer<Assignment>> joins = new ArrayDeque<>();
        private Runnable inCall = () -> {};

        @Override
        public void join(String name, long ttlMs, long generation, Consumer<Assignment> done) {
            inCall.run();
            joins.add(done);
        }

        @Override
        public void members(Consumer<Set<String>> done) {
            done.accept(Set.of());
        }

        @Override
        public void leave(String name) {}
    }
}
