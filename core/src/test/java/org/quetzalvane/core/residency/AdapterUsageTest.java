package org.quetzalvane.core.residency;

import java.time.Duration;
import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;
import org.quetzalvane.core.routes.AdapterRef;
import org.quetzalvane.core.time.ManualScheduler;

import static org.assertj.core.api.Assertions.assertThat;

/** Adapters in use as reported by peers again and again, of which most stay the same between two reports. */
class AdapterUsageTest {
    private static final AdapterRef A = new AdapterRef("m", "a");
    private static final AdapterRef B = new AdapterRef("m", "b");

    private final ManualScheduler clock = new ManualScheduler();
    private final AdapterUsage usage = new AdapterUsage(clock);

    @Test
    void countsFollowTheLastReportOfEachPeer() {
        usage.updatePeer("p", Map.of("e", List.of(A, A, B), "f", List.of(A)));
        usage.updatePeer("q", Map.of("e", List.of(A)));
        usage.updatePeer("p", Map.of("e", List.of(A, A, B)));
        assertThat(usage.inUse("f", A)).isFalse();
        assertThat(usage.inUseCount("e")).isEqualTo(2);
        assertThat(usage.popular()).containsExactly(A);
        usage.updatePeer("p", Map.of("e", List.of(B)));
        assertThat(usage.inUse("e", A)).isTrue();
        assertThat(usage.popular()).isEmpty();
        usage.removePeer("q");
        assertThat(usage.inUse("e", A)).isFalse();
        assertThat(usage.inUseCounts()).containsEntry("e", 1);
    }

    /** The adapter that was used last is evicted last; a report that changes nothing still states a use. */
    @Test
    void lastUseIsTheLastReportThatContainedTheAdapter() {
        usage.updatePeer("p", Map.of("e", List.of(A)));
        assertThat(usage.lastUsedNanos("e", B)).isEqualTo(Long.MIN_VALUE);
        for (int i = 1; i <= 3; i++) {
            clock.advance(Duration.ofMillis(300));
            usage.updatePeer("p", Map.of("e", List.of(A)));
            assertThat(usage.lastUsedNanos("e", A)).isEqualTo(i * 300_000_000L);
        }
        clock.advance(Duration.ofMillis(300));
        usage.updatePeer("p", Map.of());
        assertThat(usage.lastUsedNanos("e", A)).isEqualTo(900_000_000L);
    }

    @Test
    void lastUseIsTheNewestOfSeveralPeersAndOfThisNode() {
        usage.updatePeer("p", Map.of("e", List.of(A)));
        clock.advance(Duration.ofMillis(300));
        usage.updatePeer("q", Map.of("e", List.of(A)));
        assertThat(usage.lastUsedNanos("e", A)).isEqualTo(300_000_000L);
        clock.advance(Duration.ofMillis(100));
        usage.markUsed("e", A);
        usage.removePeer("q");
        usage.removePeer("p");
        assertThat(usage.lastUsedNanos("e", A)).isEqualTo(400_000_000L);
    }
}
