package org.quetzalvane.core.residency;

import java.time.Duration;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.quetzalvane.core.routes.AdapterRef;
import org.quetzalvane.core.time.ManualScheduler;

import static org.assertj.core.api.Assertions.assertThat;

/** Durations of loads of many rare adapters at once, over all engines. */
class LoadTimeEstimatorTest {

    @ParameterizedTest
    @CsvSource({"6, 0, 1, 265", "6, 7, 1, 265", "6, 15, 1, 530", "6, 15, 9, 795", "42, 30, 1, 265", "42, 83, 1, 530"})
    void loadsBeyondTheFullSpeedOfTheWeightStoreTakeLongerInProportion(
            int engines, int peerLoads, int ownLoads, long expectedMs) {
        LoadTimeEstimator estimator = new LoadTimeEstimator(new ManualScheduler(), () -> peerLoads, () -> engines);
        long lastMs = 0;
        for (int i = 0; i < ownLoads; i++) {
            lastMs = estimator.loadStarted("e" + i, new AdapterRef("m", "a"));
        }
        assertThat(lastMs).isEqualTo(expectedMs);
    }

    @ParameterizedTest
    @CsvSource({"264, 1", "265, 0"})
    void loadsAreInFlightUntilTheirExpectedEnd(long elapsedMs, int inFlight) {
        ManualScheduler clock = new ManualScheduler();
        LoadTimeEstimator estimator = new LoadTimeEstimator(clock, () -> 0, () -> 6);
        estimator.loadStarted("e", new AdapterRef("m", "a"));
        clock.advance(Duration.ofMillis(elapsedMs));
        assertThat(estimator.loadsInFlight()).isEqualTo(inFlight);
    }
}
