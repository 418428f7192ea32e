package org.quetzalvane.core.team;

import java.util.List;

import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.quetzalvane.core.quarantine.RequestContent;
import org.quetzalvane.core.quarantine.Verdict;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * One request, sent again and again, that crashes endpoints; its prompt parts are those of sound requests. Nodes share
 * their evidence, on a manual clock.
 */
class RepeatedRequestTest {
    private static final int RARE_PARTS = 200;
    /** Time after the third end from which at most three repeats may be sent, ms. */
    private static final long STABILITY_MS = 3_000;

    private static final String REPEATED = "repeated";
    private static final List<String> PARTS = List.of("all", "m3", "r7");

    @ParameterizedTest
    @CsvSource({
        "false, 9, 8, 2, 20",
        "true, 9, 8, 2, 20",
        "true, 9, 4, 4, 20",
        "false, 9, 40, 4, 5",
        "true, 9, 40, 4, 5",
        "false, 95, 8, 2, 3",
        "true, 95, 40, 4, 3",
        "false, 300, 8, 2, 1",
        "true, 300, 40, 4, 1"
    })
    void onlyTheRepeatedRequestIsRefusedAfterFewEnds(boolean plain, int nodes, int endpoints, double rate, int seeds) {
        for (int seed = 1; seed <= seeds; seed++) {
            QuarantineNetwork network = new QuarantineNetwork(nodes, RandomSource.XO_RO_SHI_RO_128_PP.create(seed));
            EngineSimulation s = new EngineSimulation(network, endpoints);
            s.plain = plain;
            s.arrivals(100, 40_000, () -> plain ? List.of() : s.soundParts(RARE_PARTS));
            network.advance(5_000);
            s.crashing.add(REPEATED);
            s.happens(rate, 35_000, () -> s.request(REPEATED, plain ? List.of() : PARTS));
            network.advance(35_000);
            String run = "seed " + seed + ", ends " + s.ends.size() + ", condemned " + network.condemnedLines;
            assertThat(s.sendsLaterThan(3, STABILITY_MS)).as(run).isLessThanOrEqualTo(3);
            assertThat(s.soundAdmitted).as(run).isEqualTo(s.soundAsked);
            assertThat(network.nodes).as(run).allMatch(n -> refuses(n, plain));
        }
    }

    private static boolean refuses(QuarantineNetwork.Node n, boolean plain) {
        RequestContent repeat =
                RequestContent.of(EngineSimulation.SERVICE, REPEATED.hashCode(), plain ? List.of() : PARTS, "one more");
        return n.quarantine().check(repeat).kind() == Verdict.Kind.REFUSE;
    }
}
