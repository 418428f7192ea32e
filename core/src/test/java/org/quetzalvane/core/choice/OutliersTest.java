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
    private final Outliers outliers = new Outliers(clock);

    private List<String> sound(String... ids) {
        return outliers.sound(List.of(ids), id -> id);
    }

    /** One in so many requests fails at every endpoint, and more at the first. */
    @ParameterizedTest
    @CsvSource({"7, 7, false", "7, 2, true", "2, 2, false"})
    void endpointThatFailsFarMoreOftenThanItsPeersIsSuspended(int usualOneIn, int firstOneIn, boolean suspended) {
        boolean seen = false;
        for (int i = 1; i <= 200; i++) {
            for (String id : List.of("e2", "e3", "e1")) {
                if (i % (id.equals("e1") ? firstOneIn : usualOneIn) == 0) {
                    seen |= outliers.failed(id) && id.equals("e1");
                } else {
                    outliers.succeeded(id);
                }
            }
        }
        assertThat(seen).isEqualTo(suspended);
    }

    @Test
    void endpointThatCannotBeReachedTwiceIsLeftForAWhileAndThenTriedAgain() {
        outliers.unreachable("e1");
        assertThat(sound("e1", "e2")).containsExactly("e1", "e2");
        outliers.unreachable("e1");
        assertThat(sound("e1", "e2")).containsExactly("e2");
        clock.advance(Duration.ofMillis(1_001));
        assertThat(sound("e1", "e2")).containsExactly("e1", "e2");
    }

    @Test
    void newLifeStartsWithoutTheOldOnesFailures() {
        outliers.unreachable("e1");
        outliers.unreachable("e1");
        outliers.reset("e1");
        assertThat(sound("e1", "e2")).containsExactly("e1", "e2");
    }
}
