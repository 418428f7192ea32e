package org.quetzalvane.core.team;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.quetzalvane.core.quarantine.CondemnedSet;
import org.quetzalvane.core.quarantine.RequestContent;
import org.quetzalvane.core.quarantine.Verdict;

import static org.assertj.core.api.Assertions.assertThat;

/** Sharing of what is condemned, trials, and parts named by others, on a manual clock. */
class QuarantineExchangeTest {
    private static final int RARE_PARTS = 200;
    private static final List<String> GUILTY = List.of("all", "m1", "x");

    private QuarantineNetwork network;
    private EngineSimulation s;

    private void start(int nodes, long seed) {
        network = new QuarantineNetwork(nodes, RandomSource.XO_RO_SHI_RO_128_PP.create(seed));
        s = new EngineSimulation(network, 8);
    }

    /** Sound requests for a time, and requests with a crashing part from the third second on. */
    private void crash(long forMs, String... parts) {
        s.arrivals(100, forMs, () -> s.soundParts(RARE_PARTS));
        network.advance(3_000);
        for (String p : parts) {
            s.crashing.add(p);
            s.arrivals(2.5, forMs - 3_000, () -> s.guiltyParts(p, RARE_PARTS));
        }
    }

    private static Verdict.Kind check(QuarantineNetwork.Node n, List<String> parts) {
        return n.quarantine()
                .check(RequestContent.of(EngineSimulation.SERVICE, 1, parts, "probe"))
                .kind();
    }

    /** What happens to a node while the part is found. */
    enum Trouble {
        LOSS,
        FROZEN,
        NEW,
        CUT_OFF_HUB
    }

    @ParameterizedTest
    @EnumSource(Trouble.class)
    void everyNodeRefusesThePartAfterTrouble(Trouble trouble) {
        start(20, 7);
        QuarantineNetwork.Node n = network.nodes.get(trouble == Trouble.CUT_OFF_HUB ? 3 : 15);
        network.loss = trouble == Trouble.LOSS ? 0.1 : 0;
        n.scheduler.setFrozen(trouble == Trouble.FROZEN);
        if (trouble == Trouble.CUT_OFF_HUB) {
            network.cutOff.add(n.name);
        }
        crash(30_000, "x");
        network.advance(10_000);
        network.cutOff.clear();
        n.scheduler.setFrozen(false);
        if (trouble == Trouble.NEW) {
            n.restart();
        }
        network.advance(5_000);
        for (QuarantineNetwork.Node each : network.nodes) {
            assertThat(check(each, GUILTY)).as(each.name).isEqualTo(Verdict.Kind.REFUSE);
            assertThat(check(each, List.of("all", "m1", "r1"))).as(each.name).isEqualTo(Verdict.Kind.ADMIT);
        }
        network.advance(12_000);
        assertThat(s.sendsLaterThan(3_000)).isLessThanOrEqualTo(3);
        assertThat(s.soundAdmitted).isGreaterThanOrEqualTo(s.soundAsked * 99 / 100);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void twoCrashingPartsAtOnceAreBothFound(long seed) {
        start(9, seed);
        crash(40_000, "x", "y");
        network.advance(37_000);
        assertThat(check(network.nodes.get(0), GUILTY)).isEqualTo(Verdict.Kind.REFUSE);
        assertThat(check(network.nodes.get(0), List.of("all", "m1", "y"))).isEqualTo(Verdict.Kind.REFUSE);
        assertThat(s.soundAdmitted).isGreaterThanOrEqualTo(s.soundAsked * 9 / 10);
    }

    /** A caller names a part that another one uses now and then beside the crashing one. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void partNamedBesideTheCrashingOneIsNotCondemned(long seed) {
        start(9, seed);
        s.arrivals(100, 30_000, () -> s.soundParts(RARE_PARTS));
        network.advance(3_000);
        s.crashing.add("x");
        s.arrivals(2.5, 27_000, () -> List.of("all", "victim", "x"));
        network.advance(10_000);
        for (QuarantineNetwork.Node n : network.nodes) {
            assertThat(check(n, List.of("all", "victim", "x"))).isEqualTo(Verdict.Kind.REFUSE);
            assertThat(check(n, List.of("all", "victim"))).isEqualTo(Verdict.Kind.ADMIT);
        }
    }

    @Test
    void trialsAreFewOneAtATimeAndPausesGrow() {
        start(9, 1);
        crash(1_500_000, "x");
        network.advance(50_000);
        assertThat(s.trials).isZero();
        network.advance(200_000);
        assertThat(s.trials).isEqualTo(1);
        network.advance(200_000);
        assertThat(s.trials).isEqualTo(2);
        network.advance(800_000);
        assertThat(s.trials).isEqualTo(2);
        assertThat(s.sendsLaterThan(3_000)).isLessThanOrEqualTo(3);
        Set<Long> pauses = network.nodes.stream()
                .flatMap(n -> n.condemned().stream())
                .map(CondemnedSet::pauseMs)
                .collect(Collectors.toSet());
        assertThat(pauses).containsExactly(16 * CondemnedSet.FIRST_PAUSE_MS);
    }

    @Test
    void trialThatPassesLiftsEverywhere() {
        start(20, 1);
        crash(120_000, "x");
        network.advance(20_000);
        assertThat(network.condemning()).isEqualTo(20);
        s.crashing.clear();
        network.advance(97_000);
        assertThat(s.trials).isLessThanOrEqualTo(1);
        assertThat(network.condemning()).isZero();
    }
}
