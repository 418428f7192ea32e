package org.quetzalvane.core.choice;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.quetzalvane.core.fleet.Endpoint;
import org.quetzalvane.core.limit.EndpointPermits;
import org.quetzalvane.core.limit.Permit;
import org.quetzalvane.core.residency.AdapterUsage;
import org.quetzalvane.core.residency.ResidencyTable;
import org.quetzalvane.core.routes.AdapterRef;
import org.quetzalvane.core.time.ManualScheduler;

import static org.assertj.core.api.Assertions.assertThat;

/** Selection among endpoints of which some named a limit. */
class LimitedEndpointSelectionTest {
    private static final EngineSelector.Need NEED = need(new AdapterRef("m", "a1"));

    private final ManualScheduler clock = new ManualScheduler();
    private final EndpointLoads loads = new EndpointLoads();
    private final OutlierDetector outliers = new OutlierDetector(clock);
    private final FixedWaits permits = new FixedWaits();
    private final EngineSelector engines = new EngineSelector(
            new EngineSelector.Inputs(
                    loads,
                    new AdapterUsage(clock),
                    new AdapterDemand(clock),
                    new ResidencyTable(clock),
                    outliers,
                    new PrefillEstimator(),
                    permits),
            "a",
            e -> true);
    private final ServiceEndpointSelector services = new ServiceEndpointSelector(loads, outliers, permits, "a");

    private static EngineSelector.Need need(AdapterRef ref) {
        return new EngineSelector.Need("r1", ref, 0, 800, 1_000);
    }

    /** A rare adapter is brought to another engine when its only engine takes no request in time. */
    @ParameterizedTest
    @CsvSource({"0, e1, true", "300, e1, true", "3000, e2, false"})
    void adapterGoesElsewhereWhenItsEngineHasNoPermitInTime(long waitMs, String engine, boolean resident) {
        permits.waits.put("e1", waitMs);
        EngineSelector.Selection s =
                engines.select(List.of(engine(1, Map.of("a1", 1)), engine(2, Map.of("a2", 1))), NEED, Set.of());
        assertThat(s.engine().id()).isEqualTo(engine);
        assertThat(s.resident()).isEqualTo(resident);
    }

    @Test
    void lastEngineOfAModelIsSelectedWithItsWait() {
        permits.waits.put("e1", 3_000L);
        EngineSelector.Selection s = engines.select(List.of(engine(1, Map.of("a1", 1))), NEED, Set.of());
        assertThat(s.engine().id()).isEqualTo("e1");
        assertThat(s.waitMs()).isGreaterThanOrEqualTo(3_000);
    }

    @Test
    void adaptersAreLoadedOnAnEngineWithoutALimit() {
        permits.waits.put("e1", 0L);
        for (int i = 0; i < 20; i++) {
            AdapterRef missing = new AdapterRef("m", "x" + i);
            EngineSelector.Selection s = engines.select(
                    List.of(engine(1, Map.of("a1", 1)), engine(2, Map.of("a2", 1))), need(missing), Set.of());
            assertThat(s.engine().id()).isEqualTo("e2");
        }
    }

    @Test
    void serviceEndpointWithoutAPermitIsSelectedOnlyIfNoneHasOne() {
        permits.waits.put("e1", 400L);
        permits.waits.put("e2", 700L);
        assertThat(selected(List.of(engine(1, Map.of()), engine(2, Map.of()), engine(3, Map.of()))))
                .containsExactly("e3");
        assertThat(selected(List.of(engine(1, Map.of()), engine(2, Map.of())))).containsExactly("e1");
    }

    private Set<String> selected(List<Endpoint> candidates) {
        Set<String> ids = new HashSet<>();
        for (int i = 0; i < 50; i++) {
            ids.add(services.select(candidates, Set.of(), "request-" + i).id());
        }
        return ids;
    }

    private static Endpoint engine(int n, Map<String, Integer> resident) {
        return new Endpoint(
                "e" + n, "s", "127.0.0.1", n, "a", "v1", Endpoint.State.READY, 64, 1, Map.of("m", resident));
    }

    /** Permits with waits set by the test; endpoints without one have no limit. */
    private static final class FixedWaits implements EndpointPermits {
        private final Map<String, Long> waits = new HashMap<>();

        @Override
        public long waitMs(Endpoint e) {
            return waits.getOrDefault(e.id(), 0L);
        }

        @Override
        public long intervalMs(Endpoint e) {
            return waits.containsKey(e.id()) ? 5_000 : 0;
        }

        @Override
        public void acquire(Endpoint e, int rank, long maxWaitMs, Consumer<Permit> done) {
            done.accept(Permit.UNLIMITED);
        }

        @Override
        public void giveBack(Endpoint e) {}
    }
}
