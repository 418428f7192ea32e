package org.quetzalvane.core.team;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.quetzalvane.core.time.ManualScheduler;

import static org.assertj.core.api.Assertions.assertThat;

/** Previous owners of partitions, after all nodes started at once and the first of them was assigned all partitions. */
class PeerTableTest {
    private static final int PARTITION = 3;
    private static final long GENERATION = 42;

    private final ManualScheduler clock = new ManualScheduler();
    private final PeerTable peers = new PeerTable(clock, "n1:1", Set.of());

    private static PeerMessage.Status status(
            String from, boolean leaving, long generation, List<Integer> partitions, List<Integer> ordered) {
        return new PeerMessage.Status(
                new NodeInfo(from, from, "a", 100, true, true, leaving),
                generation,
                partitions,
                ordered,
                Map.of(),
                Map.of(),
                Map.of(),
                List.of(),
                List.of(),
                0,
                1,
                0);
    }

    @Test
    void previousOwnerMayOrderUntilItHasSeenItsLoss() {
        peers.updatePeer(status("n2:1", false, GENERATION - 1, List.of(PARTITION), List.of()));
        assertThat(peers.mayStillOrder(PARTITION, GENERATION)).isTrue();
        peers.updatePeer(status("n2:1", false, GENERATION, List.of(), List.of()));
        assertThat(peers.mayStillOrder(PARTITION, GENERATION)).isFalse();
    }

    @ParameterizedTest
    @CsvSource({"false, 0, true", "true, 0, false", "false, 5000, false"})
    void nodeThatSentOrdersMayStillOrderWhileItIsUp(boolean leaving, long silentMs, boolean mayOrder) {
        peers.updatePeer(status("n2:1", leaving, GENERATION, List.of(), List.of(PARTITION)));
        clock.advance(Duration.ofMillis(silentMs));
        assertThat(peers.mayStillOrder(PARTITION, GENERATION)).isEqualTo(mayOrder);
        assertThat(peers.mayStillOrder(PARTITION + 1, GENERATION)).isFalse();
    }

    @Test
    void partitionWithoutAPreviousOwnerIsFree() {
        peers.updatePeer(status("n2:1", false, GENERATION - 1, List.of(), List.of()));
        assertThat(peers.mayStillOrder(PARTITION, GENERATION)).isFalse();
    }

    /** Results are kept between messages, and must follow each message and the age of each at once. */
    @Test
    void derivedStateFollowsMessagesDisconnectionsSuspicionsAndSilence() {
        peers.updatePeer(status("n2:1", false, 1, List.of(PARTITION), List.of()));
        clock.advance(Duration.ofMillis(700));
        peers.updatePeer(status("n3:1", false, 2, List.of(PARTITION), List.of()));
        assertThat(peers.ownerOf(PARTITION)).isEqualTo("n3:1");
        assertThat(addresses()).containsExactlyInAnyOrder("n2:1", "n3:1");
        clock.advance(Duration.ofMillis(600));
        assertThat(addresses()).containsExactly("n3:1");
        peers.disconnected("n3:1");
        assertThat(addresses()).isEmpty();
        assertThat(peers.ownerOf(PARTITION)).isNull();
        peers.updatePeer(status("n3:1", false, 2, List.of(), List.of()));
        peers.suspect("n3:1");
        assertThat(addresses()).isEmpty();
        peers.updatePeer(status("n3:1", false, 2, List.of(), List.of()));
        assertThat(addresses()).containsExactly("n3:1");
    }

    @Test
    void nodesOfAViewAreKnownUntilItIsThreeSecondsOldAlsoIfItsSuccessorsLeaveThemOut() {
        NodeInfo other = new NodeInfo("n5:1", "n5:1", "a", 100, false, true, false);
        peers.updateView(view(List.of(other), Map.of(PARTITION, "n4:1")));
        clock.advance(Duration.ofMillis(2_900));
        peers.updateView(view(List.of(), null));
        clock.advance(Duration.ofMillis(2_900));
        assertThat(addresses()).containsExactly("n5:1");
        assertThat(peers.ownerOf(PARTITION)).isEqualTo("n4:1");
        clock.advance(Duration.ofMillis(200));
        assertThat(addresses()).isEmpty();
        peers.updateView(view(List.of(), Map.of()));
        assertThat(addresses()).containsExactly("n5:1");
        assertThat(peers.ownerOf(PARTITION)).isNull();
    }

    private List<String> addresses() {
        return peers.nodes().stream().map(NodeInfo::address).toList();
    }

    private static PeerMessage.View view(List<NodeInfo> nodes, Map<Integer, String> owners) {
        return new PeerMessage.View(
                "n4:1", nodes, owners, Map.of(), Map.of(), List.of(), Map.of(), Map.of(), Map.of(), 1, false);
    }
}
