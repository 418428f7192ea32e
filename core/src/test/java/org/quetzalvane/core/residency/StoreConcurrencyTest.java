package org.quetzalvane.core.residency;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.quetzalvane.core.routes.AdapterRef;
import org.quetzalvane.core.time.ManualScheduler;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * More missing adapters at once than the weight store serves at full speed, replayed on the paused clock: each engine
 * has two loads under way all the time, and starts the next one when a load is expected to have ended and has ended.
 */
class StoreConcurrencyTest {
    private static final int LOADS_PER_ENGINE = 2;
    private static final long STEP_MS = 5;
    /** Pause between the first loads, which do not all start at once, ms. */
    private static final long START_INTERVAL_MS = 5;

    private static final long WARM_UP_MS = 40_000;
    private static final long MEASURED_MS = 40_000;
    /** Duration of a load at full speed with the network, ms. */
    private static final double FULL_SPEED_MS = 255;

    private final ManualScheduler clock = new ManualScheduler();
    private final List<LoadPlace> places = new ArrayList<>();
    private int storeLoads;
    private int started;
    private int ended;
    private int tooShort;

    /** Room for one load on an engine. */
    private final class LoadPlace {
        private final String engine;
        private final boolean broken;
        private AdapterRef adapter;
        private double remainingMs;
        private long expectedEndNanos;
        private boolean expected;

        LoadPlace(String engine, boolean broken) {
            this.engine = engine;
            this.broken = broken;
        }

        private void start(LoadTimeEstimator estimator) {
            adapter = new AdapterRef("m", "a" + started++);
            remainingMs = FULL_SPEED_MS;
            expected = false;
            expectedEndNanos = clock.nanoTime() + estimator.loadStarted(engine, adapter) * 1_000_000;
        }

        private void advance(LoadTimeEstimator estimator, double doneMs) {
            remainingMs -= broken ? 0 : doneMs;
            if (clock.nanoTime() < expectedEndNanos) {
                return;
            }
            long expectedMs = expected ? 0 : estimator.remainingMs(engine, adapter);
            if (expectedMs > 0) {
                expectedEndNanos += expectedMs * 1_000_000;
                return;
            }
            if (!expected) {
                expected = true;
                estimator.recordInTime(engine, adapter);
                if (remainingMs > 0) {
                    estimator.recordTooShort(engine, adapter);
                    tooShort++;
                }
            }
            if (remainingMs > 0) {
                estimator.loadContinues(engine, adapter);
                expectedEndNanos += EngineController.REFUSED_LOAD_EXTENSION_MS * 1_000_000;
            } else {
                ended++;
                start(estimator);
            }
        }
    }

    /** Loads ended per second and share expected too short, after a warm-up. */
    private record Result(double perSecond, double tooShortShare) {}

    private Result replay(int engines, int storeLoadsAtFullSpeed, int brokenEngines) {
        storeLoads = storeLoadsAtFullSpeed;
        LoadTimeEstimator estimator = new LoadTimeEstimator(clock, () -> 0, () -> engines);
        for (int i = 0; i < engines * LOADS_PER_ENGINE; i++) {
            LoadPlace place = new LoadPlace("e" + i % engines, i % engines < brokenEngines);
            places.add(place);
            place.start(estimator);
            run(estimator, START_INTERVAL_MS);
        }
        run(estimator, WARM_UP_MS);
        ended = 0;
        tooShort = 0;
        run(estimator, MEASURED_MS);
        return new Result(ended * 1_000.0 / MEASURED_MS, (double) tooShort / Math.max(1, ended));
    }

    private void run(LoadTimeEstimator estimator, long ms) {
        for (long t = 0; t < ms; t += STEP_MS) {
            clock.advance(Duration.ofMillis(STEP_MS));
            long underWay = places.stream().filter(p -> p.remainingMs > 0).count();
            double done = STEP_MS * Math.min(1, (double) storeLoads / Math.max(1, underWay));
            places.forEach(p -> p.advance(estimator, done));
        }
    }

    /** Loads per second that the store carries with these engines. */
    private static double carried(int engines, int storeLoads) {
        return Math.min(storeLoads, engines * LOADS_PER_ENGINE) * 1_000 / FULL_SPEED_MS;
    }

    /**
     * Parameters: engines, loads that the store serves at full speed, and the loads per second under the earlier
     * decision, which assumed that the store serves as many loads as there are engines, at least eight.
     */
    @ParameterizedTest
    @CsvSource({"8, 16, 30", "8, 8, 30", "42, 64, 158", "42, 80, 158", "98, 64, 0", "98, 80, 0", "8, 5, 0"})
    void loadsFollowWhatTheStoreCarries(int engines, int storeLoadsAtFullSpeed, double earlierPerSecond) {
        Result result = replay(engines, storeLoadsAtFullSpeed, 0);
        assertThat(result.perSecond).isGreaterThanOrEqualTo(0.85 * carried(engines, storeLoadsAtFullSpeed));
        assertThat(result.perSecond).isGreaterThanOrEqualTo(0.95 * earlierPerSecond);
        assertThat(result.tooShortShare).isLessThanOrEqualTo(0.1);
    }

    /** Loads of one engine that never end must not make the others wait longer. */
    @Test
    void engineWhoseLoadsNeverEndDoesNotSlowDownTheOthers() {
        Result result = replay(8, 16, 1);
        assertThat(result.perSecond).isGreaterThanOrEqualTo(0.85 * 14 * 1_000 / FULL_SPEED_MS);
    }
}
