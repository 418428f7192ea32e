package org.quetzalvane.entry;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Changes of the configuration while the store loses single responses, is slow, or turns nodes away. */
class ImpairedStoreTest {
    /** Time after its acknowledgement within which a change must be in force on every node, ms. */
    private static final long APPLY_MS = 2_000;
    /** Time that a node runs and reaches all others before it is judged, ms. */
    private static final long STABLE_MS = 5_000;

    private static final int PHASES = 20;
    private static final int PHASE_MS = 97;

    private static PausedNodes started(int count, int phase) {
        PausedNodes nodes = new PausedNodes(true);
        nodes.store.write(PausedNodes.OPERATOR, "config", "1");
        nodes.start(count);
        nodes.advance(10_000 + phase * PHASE_MS);
        return nodes;
    }

    private static void assertInForce(Collection<PausedNodes.Node> nodes, String version, int phase) {
        assertThat(nodes).as("phase " + phase).allSatisfy(n -> assertThat(n.values())
                .containsEntry("config", version));
    }

    /** A response that carried the change hid it until the read was given up. */
    @ParameterizedTest
    @CsvSource({"3", "30"})
    void changeIsInForceInTimeThoughTheResponseThatCarriedItWasLost(int count) {
        IntStream.range(0, PHASES).forEach(phase -> {
            PausedNodes nodes = started(count, phase);
            Set<String> lostOn = new HashSet<>();
            nodes.store.loseResponses(
                    r -> PausedNodes.OPERATOR.equals(r.topic()) && r.carriesRecords() && lostOn.add(r.node()));
            nodes.store.write(PausedNodes.OPERATOR, "config", "2");
            nodes.advance(APPLY_MS);
            assertThat(lostOn).isNotEmpty();
            assertInForce(nodes.all(), "2", phase);
        });
    }

    /** A store that loses all responses on one topic for a time, as one silent connection does. */
    @ParameterizedTest
    @CsvSource({
        "3, operator, 2000",
        "3, operator, 5000",
        "3, endpoints, 5000",
        "30, operator, 2000",
        "30, operator, 5000"
    })
    void changeIsInForceInTimeAfterOneTopicWasSilent(int count, String topic, long silentMs) {
        IntStream.range(0, PHASES).forEach(phase -> {
            PausedNodes nodes = started(count, phase);
            nodes.store.loseResponses(r -> topic.equals(r.topic()));
            nodes.advance(silentMs);
            nodes.store.loseResponses(r -> false);
            nodes.store.write(PausedNodes.OPERATOR, "config", "2");
            nodes.advance(APPLY_MS);
            assertInForce(nodes.all(), "2", phase);
        });
    }

    /** Parameters: nodes, response time of the store, bound of a change, and of the calls of a node in a second. */
    @ParameterizedTest
    @CsvSource({
        "3, 240, 2000, 6",
        "30, 240, 2000, 3",
        "3, 600, 2000, 10",
        "30, 600, 2000, 6",
        "3, 1500, 4000, 10",
        "30, 1500, 4000, 10"
    })
    void slowStoreIsFollowedWithABoundedNumberOfCalls(int count, long delayMs, long applyMs, int callsPerNode) {
        IntStream.range(0, PHASES).forEach(phase -> {
            PausedNodes nodes = started(count, phase);
            nodes.store.respondAfter(delayMs);
            nodes.advance(STABLE_MS);
            nodes.store.resetCounts();
            nodes.advance(STABLE_MS);
            long calls = nodes.store.reads() + nodes.store.listings();
            assertThat(calls * 1_000.0 / STABLE_MS / count).isLessThanOrEqualTo(callsPerNode);
            nodes.store.write(PausedNodes.OPERATOR, "config", "2");
            nodes.advance(applyMs);
            assertInForce(nodes.all(), "2", phase);
        });
    }

    /** The hub of a member is turned away, its reads fail at once or get no response, or it is frozen for a time. */
    @ParameterizedTest
    @CsvSource({
        "REFUSED_BY_STORE, 0",
        "REFUSED_BY_STORE, 3000",
        "CUT_FROM_STORE, 700",
        "CUT_FROM_STORE, 3000",
        "FROZEN, 2500"
    })
    void changeIsInForceInTimeWhileAHubIsTurnedAway(PausedNodes.Fault fault, long beforeMs) {
        IntStream.range(0, PHASES).forEach(phase -> {
            PausedNodes nodes = started(30, phase);
            PausedNodes.Node hub = hubOfAMember(nodes);
            hub.disturb(fault);
            nodes.advance(beforeMs);
            nodes.store.write(PausedNodes.OPERATOR, "config", "2");
            nodes.advance(APPLY_MS);
            assertInForce(nodes.all().stream().filter(n -> n != hub).toList(), "2", phase);
            hub.recover();
            nodes.advance(APPLY_MS);
            assertInForce(List.of(hub), "2", phase);
        });
    }

    /** The hub of a member ends while the store is silent, and another one is chosen before or after its return. */
    @ParameterizedTest
    @CsvSource({"2000, 100", "2000, 1900", "5000, 2500", "5000, 4500"})
    void changeIsInForceInTimeThoughAHubEndedInTheSilence(long silentMs, long endedMs) {
        IntStream.range(0, PHASES).forEach(phase -> {
            PausedNodes nodes = started(30, phase);
            PausedNodes.Node hub = hubOfAMember(nodes);
            nodes.store.silence(true);
            nodes.advance(endedMs);
            hub.disturb(PausedNodes.Fault.KILLED);
            nodes.advance(silentMs - endedMs);
            nodes.store.silence(false);
            nodes.store.write(PausedNodes.OPERATOR, "config", "2");
            nodes.advance(APPLY_MS);
            assertInForce(nodes.all().stream().filter(n -> n != hub).toList(), "2", phase);
        });
    }

    /** A node that is frozen while the store is silent, and thawed before or after its return. */
    @ParameterizedTest
    @CsvSource({"3, 2000, 1000", "3, 5000, 4900", "3, 2000, 2500", "30, 2000, 1500", "30, 5000, 5500"})
    void changeIsInForceInTimeOnANodeThatWasFrozenMeanwhile(int count, long silentMs, long frozenMs) {
        IntStream.range(0, PHASES).forEach(phase -> {
            PausedNodes nodes = started(count, phase);
            PausedNodes.Node frozen = nodes.all().iterator().next();
            nodes.store.silence(true);
            frozen.disturb(PausedNodes.Fault.FROZEN);
            long first = Math.min(silentMs, frozenMs);
            nodes.advance(first);
            if (frozenMs <= silentMs) {
                frozen.recover();
            } else {
                nodes.store.silence(false);
            }
            nodes.advance(Math.max(silentMs, frozenMs) - first);
            nodes.store.silence(false);
            frozen.recover();
            nodes.store.write(PausedNodes.OPERATOR, "config", "2");
            nodes.advance(APPLY_MS);
            assertInForce(nodes.all(), "2", phase);
        });
    }

    /** A node that starts while the store is silent learns the records from its peers and must not miss later ones. */
    @ParameterizedTest
    @CsvSource({"3, 3000, 500", "3, 3000, 2900", "3, 6000, 2000", "30, 3000, 500", "30, 3000, 2900", "30, 6000, 2000"})
    void changeIsInForceInTimeOnANodeThatStartedMeanwhile(int count, long silentMs, long startedMs) {
        IntStream.range(0, PHASES).forEach(phase -> {
            PausedNodes nodes = started(count, phase);
            String address = nodes.all().iterator().next().address;
            nodes.node(address).disturb(PausedNodes.Fault.KILLED);
            nodes.store.write(PausedNodes.OPERATOR, "config", "2");
            nodes.store.silence(true);
            nodes.advance(startedMs);
            nodes.restart(address);
            nodes.advance(silentMs - startedMs);
            nodes.store.silence(false);
            nodes.store.write(PausedNodes.OPERATOR, "config", "3");
            nodes.advance(APPLY_MS);
            assertInForce(nodes.all(), "3", phase);
        });
    }

    private static PausedNodes.Node hubOfAMember(PausedNodes nodes) {
        return nodes.all().stream()
                .filter(n -> !n.exchange.isHub())
                .map(n -> nodes.node(n.exchange.reportsTo()))
                .findFirst()
                .orElseThrow();
    }
}
