package org.quetzalvane.core.residency;

import java.time.Duration;

import org.junit.jupiter.api.Test;
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

    /** Counts of peers are bounded by what the engines could have under way. */
    @ParameterizedTest
    @CsvSource({"-5, 265", "-2147483648, 265", "2147483647, 828"})
    void invalidCountsOfPeersAreBounded(int peerLoads, long expectedMs) {
        LoadTimeEstimator estimator = new LoadTimeEstimator(new ManualScheduler(), () -> peerLoads, () -> 6);
        assertThat(estimator.loadStarted("e", new AdapterRef("m", "a"))).isEqualTo(expectedMs);
    }

    @Test
    void loadIsSlowedDownByThoseThatStartLater() {
        ManualScheduler clock = new ManualScheduler();
        LoadTimeEstimator estimator = new LoadTimeEstimator(clock, () -> 0, () -> 4);
        AdapterRef first = new AdapterRef("m", "a0");
        assertThat(estimator.loadStarted("e0", first)).isEqualTo(265);
        clock.advance(Duration.ofMillis(132));
        for (int i = 1; i < 16; i++) {
            estimator.loadStarted("e" + i, new AdapterRef("m", "a" + i));
        }
        clock.advance(Duration.ofMillis(133));
        assertThat(estimator.remainingMs("e0", first)).isEqualTo(133);
        clock.advance(Duration.ofMillis(133));
        assertThat(estimator.remainingMs("e0", first)).isZero();
        assertThat(estimator.loadsInFlight()).isEqualTo(15);
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
