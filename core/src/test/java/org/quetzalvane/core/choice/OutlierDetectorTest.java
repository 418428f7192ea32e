package org.quetzalvane.core.choice;

import java.time.Duration;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.quetzalvane.core.time.ManualScheduler;

import static org.assertj.core.api.Assertions.assertThat;

/** Suspension of a single endpoint that is down or degraded among healthy ones. */
class OutlierDetectorTest {
    private final ManualScheduler clock = new ManualScheduler();
    private final OutlierDetector detector = new OutlierDetector(clock);

    private List<String> healthy(String... ids) {
        return detector.healthy(List.of(ids), id -> id);
    }

    /** Parameters: requests per failure at the peers, requests per failure at e1, whether e1 is suspended. */
    @ParameterizedTest
    @CsvSource({"7, 7, false", "7, 2, true", "2, 2, false"})
    void endpointThatFailsFarMoreOftenThanItsPeersIsSuspended(
            int peerRequestsPerFailure, int requestsPerFailure, boolean suspended) {
        boolean detected = false;
        for (int i = 1; i <= 200; i++) {
            for (String id : List.of("e2", "e3", "e1")) {
                if (i % (id.equals("e1") ? requestsPerFailure : peerRequestsPerFailure) == 0) {
                    detected |= detector.recordFailure(id) && id.equals("e1");
                } else {
                    detector.recordSuccess(id);
                }
            }
        }
        assertThat(detected).isEqualTo(suspended);
    }

    @Test
    void endpointUnreachableTwiceIsSuspendedForALimitedTime() {
        detector.recordUnreachable("e1");
        assertThat(healthy("e1", "e2")).containsExactly("e1", "e2");
        detector.recordUnreachable("e1");
        assertThat(healthy("e1", "e2")).containsExactly("e2");
        clock.advance(Duration.ofMillis(1_001));
        assertThat(healthy("e1", "e2")).containsExactly("e1", "e2");
    }

    /** Parameters: gaps of e1 and of its peers, ms, and whether e1 is suspended. */
    @ParameterizedTest
    @CsvSource({"70, 70, false", "190, 60, false", "500, 70, true", "500, 300, false", "90, 20, false"})
    void engineFarSlowerThanItsPeersIsSuspended(int gapMs, int peerGapMs, boolean suspended) {
        boolean detected = false;
        for (int i = 0; i < 20; i++) {
            for (String id : List.of("e2", "e3", "e4")) {
                assertThat(detector.recordGap(id, peerGapMs)).isFalse();
            }
            detected |= detector.recordGap("e1", gapMs);
        }
        assertThat(detected).isEqualTo(suspended);
        assertThat(healthy("e1", "e2")).hasSize(suspended ? 1 : 2);
    }

    @Test
    void recoveredEngineIsNotSuspendedAgain() {
        for (int i = 0; i < 20; i++) {
            detector.recordGap("e2", 70);
            detector.recordGap("e1", 500);
        }
        clock.advance(Duration.ofMillis(1_001));
        for (int i = 0; i < 40; i++) {
            detector.recordGap("e1", 70);
        }
        clock.advance(Duration.ofMillis(4_001));
        assertThat(detector.recordGap("e1", 70)).isFalse();
        assertThat(healthy("e1", "e2")).hasSize(2);
    }

    @Test
    void newInstanceStartsWithoutFailuresOfTheOldOne() {
        detector.recordUnreachable("e1");
        detector.recordUnreachable("e1");
        detector.reset("e1");
        assertThat(healthy("e1", "e2")).containsExactly("e1", "e2");
    }
}
