package org.quetzalvane.core.residency;

import java.time.Duration;
import java.util.Map;

import org.junit.jupiter.api.Test;
import org.quetzalvane.core.fleet.Endpoint;
import org.quetzalvane.core.time.ManualScheduler;

import static org.assertj.core.api.Assertions.assertThat;

class ResidencyTableTest {
    private final ManualScheduler clock = new ManualScheduler();
    private final ResidencyTable table = new ResidencyTable(clock);

    private static Endpoint engine(long bornMs) {
        return new Endpoint("e1", "s", "127.0.0.1", 1, "a", "v1", Endpoint.State.READY, 4, bornMs, Map.of());
    }

    private void advance(long ms) {
        clock.advance(Duration.ofMillis(ms));
    }

    @Test
    void engineTakesNoLoadsForLongerEachTimeItsOwnerDoesNotReachIt() {
        for (long pauseMs : new long[] {1_000, 2_000, 4_000, 4_000}) {
            table.recordUnreachableByOwner(engine(1));
            advance(pauseMs - 1);
            table.recordUnreachableByOwner(engine(1));
            assertThat(table.takesLoads(engine(1))).isFalse();
            advance(1);
            assertThat(table.takesLoads(engine(1))).isTrue();
        }
    }

    @Test
    void otherInstanceTakesLoadsAtOnce() {
        table.recordUnreachableByOwner(engine(1));
        assertThat(table.takesLoads(engine(2))).isTrue();
    }

    @Test
    void pauseEndsAndStartsAnewOnceSomethingWasLoaded() {
        table.recordUnreachableByOwner(engine(1));
        advance(ResidencyTable.FIRST_PAUSE_MS);
        table.recordUnreachableByOwner(engine(1));
        table.recordLoaded(engine(1));
        assertThat(table.takesLoads(engine(1))).isTrue();
        table.recordUnreachableByOwner(engine(1));
        advance(ResidencyTable.FIRST_PAUSE_MS);
        assertThat(table.takesLoads(engine(1))).isTrue();
    }
}
