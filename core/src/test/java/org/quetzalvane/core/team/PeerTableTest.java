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

/** Who held a duty before, after all nodes started at once and the first of them was dealt everything. */
class PeerTableTest {
    private static final int DUTY = 3;
    private static final long GENERATION = 42;

    private final ManualScheduler clock = new ManualScheduler();
    private final PeerTable peers = new PeerTable(clock, "n1:1", Set.of());

    private static PeerMessage.Status status(
            String from, boolean leaving, long generation, List<Integer> duties, List<Integer> ordered) {
        return new PeerMessage.Status(
                from,
                from,
                "a",
                true,
                leaving,
                generation,
                duties,
                ordered,
                Map.of(),
                Map.of(),
                Map.of(),
                List.of(),
                0);
    }

    @Test
    void formerHolderIsWaitedForUntilItHasHeardOfItsLoss() {
        peers.updatePeer(status("n2:1", false, GENERATION - 1, List.of(DUTY), List.of()));
        assertThat(peers.mayStillOrder(DUTY, GENERATION)).isTrue();
        peers.updatePeer(status("n2:1", false, GENERATION, List.of(), List.of()));
        assertThat(peers.mayStillOrder(DUTY, GENERATION)).isFalse();
    }

    @ParameterizedTest
    @CsvSource({"false, 0, true", "true, 0, false", "false, 5000, false"})
    void nodeThatGaveOrdersIsWaitedForWhileItWorks(boolean leaving, long silentMs, boolean waited) {
        peers.updatePeer(status("n2:1", leaving, GENERATION, List.of(), List.of(DUTY)));
        clock.advance(Duration.ofMillis(silentMs));
        assertThat(peers.mayStillOrder(DUTY, GENERATION)).isEqualTo(waited);
        assertThat(peers.mayStillOrder(DUTY + 1, GENERATION)).isFalse();
    }

    @Test
    void dutyThatNobodyHeldIsFree() {
        peers.updatePeer(status("n2:1", false, GENERATION - 1, List.of(), List.of()));
        assertThat(peers.mayStillOrder(DUTY, GENERATION)).isFalse();
    }
}
