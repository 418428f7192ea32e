package org.quetzalvane.core.residency;

import java.time.Duration;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.quetzalvane.core.routes.AdapterRef;
import org.quetzalvane.core.time.ManualScheduler;

import static org.assertj.core.api.Assertions.assertThat;

/** The load pattern of many rare adapters at once, over all engines. */
class LoadTimesTest {

    @ParameterizedTest
    @CsvSource({"6, 0, 1, 265", "6, 7, 1, 265", "6, 15, 1, 530", "6, 15, 9, 795", "42, 30, 1, 265", "42, 83, 1, 530"})
    void loadsBeyondTheStoresSpeedTakeLongerInProportion(int engines, int ofPeers, int own, long expectedMs) {
        LoadTimeEstimator times = new LoadTimeEstimator(new ManualScheduler(), () -> ofPeers, () -> engines);
        long last = 0;
        for (int i = 0; i < own; i++) {
            last = times.started("e" + i, new AdapterRef("m", "a"));
        }
        assertThat(last).isEqualTo(expectedMs);
    }

    @ParameterizedTest
    @CsvSource({"264, 1", "265, 0"})
    void loadsAreOnTheWayUntilTheirExpectedEnd(long passedMs, int onTheWay) {
        ManualScheduler clock = new ManualScheduler();
        LoadTimeEstimator times = new LoadTimeEstimator(clock, () -> 0, () -> 6);
        times.started("e", new AdapterRef("m", "a"));
        clock.advance(Duration.ofMillis(passedMs));
        assertThat(times.loadsInFlight()).isEqualTo(onTheWay);
    }
}
