package org.quetzalvane.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Engines that were handed from one node to another after the copy from which the store comes back, so that both nodes
 * believe that they own them. Every node sends an order to every engine whenever it may.
 */
class RestoredOwnersTest {
    private static final int NODES = 4;
    /** Join interval; the restore is tried at several instants of it, ms. */
    private static final int JOIN_INTERVAL_MS = 650;

    private static final int PHASES = 5;
    /** Start of a fault before the restore; negative for one after it, ms. */
    private static final long[] LEADS_MS = {-300, 0, 400};

    private static final long[] DURATIONS_MS = {500, 1_500, 6_000};
    /** Time within which each engine has one owner again, ms: lost membership, handover and lease. */
    private static final long SETTLED_MS = 8_000;

    /** The node that a fault happens to. */
    private enum Victim {
        OWNER_IN_THE_COPY,
        NEW_OWNER
    }

    static Stream<Arguments> faults() {
        List<Arguments> all = new ArrayList<>();
        for (Victim v : Victim.values()) {
            for (PausedNodes.Fault f : PausedNodes.Fault.values()) {
                all.add(Arguments.of(v, f, true));
                all.add(Arguments.of(v, f, false));
            }
        }
        return all.stream();
    }

    @ParameterizedTest
    @MethodSource("faults")
    void ownersOutOfTouchNeverTakeTurnsWithinTheLease(Victim victim, PausedNodes.Fault fault, boolean membersExpired) {
        for (long lead : LEADS_MS) {
            for (long duration : DURATIONS_MS) {
                for (int phase = 0; phase < PHASES; phase++) {
                    Handover h = new Handover(true, phase);
                    PausedNodes.Node v = h.nodes.node(victim == Victim.NEW_OWNER ? h.newOwner : h.ownerInCopy);
                    if (lead < 0) {
                        h.nodes.store.restoreCopy(membersExpired);
                        h.nodes.advance(-lead);
                        v.disturb(fault);
                    } else {
                        v.disturb(fault);
                        h.nodes.advance(lead);
                        h.nodes.store.restoreCopy(membersExpired);
                    }
                    h.nodes.advance(duration);
                    v.recover();
                    h.assertSettledWithoutViolation("lead " + lead + ", duration " + duration + ", phase " + phase);
                }
            }
        }
    }

    /** Parameters: whether engines check fencing tokens, and whether the copied memberships have ended. */
    @ParameterizedTest
    @CsvSource({"true, true", "true, false", "false, true", "false, false"})
    void ownersNeverTakeTurnsWithinTheLease(boolean fencingEnforced, boolean membersExpired) {
        for (int phase = 0; phase < PHASES; phase++) {
            Handover h = new Handover(fencingEnforced, phase);
            h.nodes.store.restoreCopy(membersExpired);
            h.assertSettledWithoutViolation("phase " + phase);
        }
    }

    /** Nodes at the moment before a restore that takes the partitions back from their new owner. */
    private static final class Handover {
        private final PausedNodes nodes;
        private final OrderJudge judge;
        private final String ownerInCopy;
        private final String newOwner;

        private Handover(boolean fencingEnforced, int phase) {
            nodes = new PausedNodes(fencingEnforced);
            judge = new OrderJudge(nodes, fencingEnforced);
            nodes.start(NODES);
            nodes.advance(SETTLED_MS + phase * JOIN_INTERVAL_MS / PHASES);
            nodes.store.takeCopy();
            ownerInCopy = nodes.store.ownerOf(0);
            newOwner = nodes.store.ownerOf(1);
            nodes.store.moveAll(ownerInCopy, newOwner);
            nodes.advance(6_000);
            assertThat(judge.lastOwner(0)).isEqualTo(newOwner);
        }

        private void assertSettledWithoutViolation(String at) {
            nodes.advance(SETTLED_MS);
            assertThat(judge.violations()).as(at).isEmpty();
            for (int p = 0; p < PausedStore.PARTITIONS; p++) {
                assertThat(judge.lastOwner(p)).as(at).isEqualTo(nodes.store.ownerOf(p));
                assertThat(judge.msSinceLastOrder(p)).as(at).isLessThan(100);
            }
        }
    }
}
