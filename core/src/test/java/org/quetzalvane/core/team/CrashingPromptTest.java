package org.quetzalvane.core.team;

import java.util.function.Consumer;

import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/** A prompt part that crashes engines, at nodes that share their evidence, on a manual clock. */
class CrashingPromptTest {
    private static final int RARE_PARTS = 200;
    /** Time after the fifth end from which at most three requests with the part may be sent, ms. */
    private static final long STABILITY_MS = 3_000;

    @ParameterizedTest
    @CsvSource({
        "9, 8, 2, 1",
        "9, 8, 3, 2",
        "9, 40, 2, 3",
        "9, 40, 3, 4",
        "95, 8, 2, 1",
        "95, 8, 3, 2",
        "95, 40, 2, 3",
        "95, 40, 3, 4",
        "300, 8, 2, 1",
        "300, 40, 3, 2"
    })
    void partIsRefusedAtAllNodesAfterFewEnds(int nodes, int engines, double rate, long seed) {
        EngineSimulation s = run(nodes, engines, rate, seed, simulation -> {});
        assertThat(s.ends).hasSizeLessThanOrEqualTo(16);
        assertThat(s.sendsLaterThan(STABILITY_MS)).isLessThanOrEqualTo(3);
        assertThat(s.soundAdmitted).isGreaterThanOrEqualTo(s.soundAsked * 99 / 100);
        assertThat(s.network.condemning()).isEqualTo(nodes);
    }

    /** Engines end within the head of the answer; of some of these nodes have read no byte when the reset arrives. */
    @ParameterizedTest
    @CsvSource({
        "9, 6, 2, 0, 1",
        "9, 6, 2, 0.5, 2",
        "9, 8, 2, 0.5, 3",
        "9, 8, 3, 0.5, 4",
        "95, 40, 3, 0.5, 5",
        "300, 40, 3, 0.5, 6"
    })
    void partIsRefusedThoughEnginesEndWithinTheHead(int nodes, int engines, double rate, double unanswered, long seed) {
        EngineSimulation s = run(nodes, engines, rate, seed, simulation -> {
            simulation.endsWithinHead = true;
            simulation.endsUnanswered = () -> simulation.network.random.nextDouble() < unanswered;
        });
        assertThat(s.sendsLaterThan(STABILITY_MS)).isLessThanOrEqualTo(3);
        assertThat(s.soundAdmitted).isGreaterThanOrEqualTo(s.soundAsked * 99 / 100);
        assertThat(s.network.condemning()).isEqualTo(nodes);
    }

    /** Engines end before a byte of the answer has arrived, at each or at half of the requests with the part. */
    @ParameterizedTest
    @CsvSource({"9, 6, 2, 1.0, 1", "9, 8, 2, 0.5, 2", "95, 40, 3, 1.0, 3"})
    void partIsRefusedThoughEnginesEndBeforeTheyAnswer(
            int nodes, int engines, double rate, double unanswered, long seed) {
        EngineSimulation s = run(
                nodes,
                engines,
                rate,
                seed,
                simulation -> simulation.endsUnanswered = () -> simulation.network.random.nextDouble() < unanswered);
        assertThat(s.sendsLaterThan(STABILITY_MS)).isLessThanOrEqualTo(3);
        assertThat(s.network.condemning()).isEqualTo(nodes);
    }

    /** Runs sound requests for 40 s, and after 5 s requests with the part at a rate per second. */
    private static EngineSimulation run(
            int nodes, int engines, double rate, long seed, Consumer<EngineSimulation> setUp) {
        QuarantineNetwork network = new QuarantineNetwork(nodes, RandomSource.XO_RO_SHI_RO_128_PP.create(seed));
        EngineSimulation s = new EngineSimulation(network, engines);
        setUp.accept(s);
        s.arrivals(100, 40_000, () -> s.soundParts(RARE_PARTS));
        network.advance(5_000);
        s.crashing.add("x");
        s.arrivals(rate, 35_000, () -> s.guiltyParts("x", RARE_PARTS));
        network.advance(35_000);
        return s;
    }
}
