package org.quetzalvane.core.choice;

import java.time.Duration;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.quetzalvane.core.time.ManualScheduler;

import static org.assertj.core.api.Assertions.assertThat;

/** The pattern of one grey or dark endpoint among sound ones. */
class OutliersTest {
    private final ManualScheduler clock = new ManualScheduler();
    private final OutlierDetector outliers = new OutlierDetector(clock);

    private List<String> sound(String... ids) {
        return outliers.healthy(List.of(ids), id -> id);
    }

    /** One in so many requests fails at every endpoint, and more at the first. */
    @ParameterizedTest
    @CsvSource({"7, 7, false", "7, 2, true", "2, 2, false"})
    void endpointThatFailsFarMoreOftenThanItsPeersIsSuspended(int usualOneIn, int firstOneIn, boolean suspended) {
        boolean seen = false;
        for (int i = 1; i <= 200; i++) {
            for (String id : List.of("e2", "e3", "e1")) {
                if (i % (id.equals("e1") ? firstOneIn : usualOneIn) == 0) {
                    seen |= outliers.recordFailure(id) && id.equals("e1");
                } else {
                    outliers.recordSuccess(id);
                }
            }
        }
        assertThat(seen).isEqualTo(suspended);
    }

    @Test
    void endpointThatCannotBeReachedTwiceIsLeftForAWhileAndThenTriedAgain() {
        outliers.recordUnreachable("e1");
        assertThat(sound("e1", "e2")).containsExactly("e1", "e2");
        outliers.recordUnreachable("e1");
        assertThat(sound("e1", "e2")).containsExactly("e2");
        clock.advance(Duration.ofMillis(1_001));
        assertThat(sound("e1", "e2")).containsExactly("e1", "e2");
    }

    /** Pauses between events of the first engine and of its peers, in ms. */
    @ParameterizedTest
    @CsvSource({"70, 70, false", "190, 60, false", "500, 70, true", "500, 300, false", "90, 20, false"})
    void engineFarSlowerThanItsPeersIsSuspendedThoughItSends(int firstMs, int usualMs, boolean suspended) {
        boolean seen = false;
        for (int i = 0; i < 20; i++) {
            for (String id : List.of("e2", "e3", "e4")) {
                assertThat(outliers.recordGap(id, usualMs)).isFalse();
            }
            seen |= outliers.recordGap("e1", firstMs);
        }
        assertThat(seen).isEqualTo(suspended);
        assertThat(sound("e1", "e2")).hasSize(suspended ? 1 : 2);
    }

    @Test
    void engineThatHasHealedIsNotSuspendedAgain() {
        for (int i = 0; i < 20; i++) {
            outliers.recordGap("e2", 70);
            outliers.recordGap("e1", 500);
        }
        clock.advance(Duration.ofMillis(1_001));
        for (int i = 0; i < 40; i++) {
            outliers.recordGap("e1", 70);
        }
        clock.advance(Duration.ofMillis(4_001));
        assertThat(outliers.recordGap("e1", 70)).isFalse();
        assertThat(sound("e1", "e2")).hasSize(2);
    }

    @Test
    void newLifeStartsWithoutTheOldOnesFailures() {
        outliers.recordUnreachable("e1");
        outliers.recordUnreachable("e1");
        outliers.reset("e1");
        assertThat(sound("e1", "e2")).containsExactly("e1", "e2");
    }
}
