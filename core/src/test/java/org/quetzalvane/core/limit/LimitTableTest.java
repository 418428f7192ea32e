package org.quetzalvane.core.limit;

import java.time.Duration;
import java.util.Map;

import org.junit.jupiter.api.Test;
import org.quetzalvane.core.fleet.Endpoint;
import org.quetzalvane.core.time.ManualScheduler;

import static org.assertj.core.api.Assertions.assertThat;

/** Limits by instance, and what is kept of them. */
class LimitTableTest {
    private final ManualScheduler clock = new ManualScheduler();
    private final LimitTable table = new LimitTable(clock);

    @Test
    void limitGoesWithItsInstance() {
        assertThat(table.apply(endpoint("e", 1), 2, clock.nanoTime())).isTrue();
        assertThat(table.isLimited(endpoint("e", 1))).isTrue();
        assertThat(table.isLimited(endpoint("e", 2))).isFalse();
        assertThat(table.apply(endpoint("e", 2), 5, clock.nanoTime())).isTrue();
        assertThat(table.apply(endpoint("e", 1), 1, clock.nanoTime())).isFalse();
        assertThat(table.perSecond("e", 2)).isEqualTo(5);
    }

    @Test
    void limitsOfEndpointsThatAreGoneAreRemovedAfterATime() {
        table.apply(endpoint("gone", 1), 2, clock.nanoTime());
        table.apply(endpoint("listed", 1), 2, clock.nanoTime());
        table.removeGone("listed"::equals);
        assertThat(table.size()).isEqualTo(2);
        clock.advance(Duration.ofMillis(LimitTable.GONE_AFTER_MS + 1));
        table.removeGone("listed"::equals);
        assertThat(table.all()).extracting(EndpointLimit::endpoint).containsExactly("listed");
    }

    @Test
    void limitsAreBounded() {
        for (int i = 0; i < LimitTable.MAX_LIMITS + 10; i++) {
            table.apply(endpoint("e" + i, 1), 2, clock.nanoTime());
        }
        assertThat(table.size()).isEqualTo(LimitTable.MAX_LIMITS);
        assertThat(table.isLimited(endpoint("e0", 1))).isFalse();
    }

    private static Endpoint endpoint(String id, long born) {
        return new Endpoint(id, "s", "127.0.0.1", 1, "a", "v1", Endpoint.State.READY, 4, born, Map.of());
    }
}
