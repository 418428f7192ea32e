package org.quetzalvane.core.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.quetzalvane.core.time.ManualScheduler;

import static org.assertj.core.api.Assertions.assertThat;

class EndpointTableTest {
    private final ManualScheduler clock = new ManualScheduler();
    private final EndpointTable table = new EndpointTable(clock);

    private static Endpoint endpoint(String id, long born, Endpoint.State state) {
        return new Endpoint(id, "s", "127.0.0.1", 1, "a", "v1", state, 4, born, Map.of());
    }

    private List<String> usable() {
        return table.usable("s", null).stream().map(Endpoint::id).toList();
    }

    @Test
    void drainingEndpointIsALastResortForALimitedTime() {
        table.apply(endpoint("e1", 1, Endpoint.State.DRAINING));
        assertThat(usable()).containsExactly("e1");
        table.apply(endpoint("e2", 1, Endpoint.State.READY));
        assertThat(usable()).containsExactly("e2");
        clock.advance(Duration.ofMillis(EndpointTable.LAST_RESORT_MS + 1));
        table.entryRemoved("e2");
        assertThat(usable()).containsExactly("e2");
        clock.advance(Duration.ofMillis(EndpointTable.LAST_RESORT_MS + 1));
        assertThat(usable()).isEmpty();
    }

    @Test
    void lateReadyEntryDoesNotRestoreADrainingInstance() {
        table.apply(endpoint("e1", 1, Endpoint.State.DRAINING));
        clock.advance(Duration.ofSeconds(2));
        table.apply(endpoint("e1", 1, Endpoint.State.READY));
        assertThat(usable()).isEmpty();
        table.apply(endpoint("e1", 2, Endpoint.State.READY));
        assertThat(usable()).containsExactly("e1");
    }

    @Test
    void entryThatExpiredDuringAStoreOutageIsRestored() {
        table.apply(endpoint("e1", 1, Endpoint.State.READY));
        table.applyListing(Set.of());
        clock.advance(Duration.ofSeconds(2));
        assertThat(usable()).isEmpty();
        table.apply(endpoint("e1", 1, Endpoint.State.READY));
        assertThat(usable()).containsExactly("e1");
    }

    @Test
    void eachInstanceIsReportedOnce() {
        List<Long> instances = new ArrayList<>();
        table.onNewInstance(e -> instances.add(e.bornMs()));
        table.apply(endpoint("e1", 1, Endpoint.State.READY));
        table.apply(endpoint("e1", 1, Endpoint.State.READY));
        table.apply(endpoint("e1", 5, Endpoint.State.READY));
        assertThat(instances).containsExactly(1L, 5L);
    }
}
