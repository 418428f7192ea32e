package org.quetzalvane.core.choice;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.quetzalvane.core.fleet.Endpoint;
import org.quetzalvane.core.limit.EndpointPermits;
import org.quetzalvane.core.residency.AdapterUsage;
import org.quetzalvane.core.residency.EngineResidency;
import org.quetzalvane.core.residency.ResidencyTable;
import org.quetzalvane.core.routes.AdapterRef;
import org.quetzalvane.core.time.ManualScheduler;

import static org.assertj.core.api.Assertions.assertThat;

/** Selection with skewed popularity of adapters, over engines with few adapter slots. */
class EngineSelectorTest {
    private final ManualScheduler clock = new ManualScheduler();
    private final EndpointLoads loads = new EndpointLoads();
    private final AdapterUsage usage = new AdapterUsage(clock);
    private final AdapterDemand demand = new AdapterDemand(clock);
    private final ResidencyTable residency = new ResidencyTable(clock);
    private final OutlierDetector outliers = new OutlierDetector(clock);
    private final EngineSelector selector = new EngineSelector(
            new EngineSelector.Inputs(
                    loads, usage, demand, residency, outliers, new PrefillEstimator(), EndpointPermits.UNLIMITED),
            "a",
            e -> true);

    private static AdapterRef adapter(int n) {
        return new AdapterRef("m", "a" + n);
    }

    private static Endpoint engine(int n, Map<String, Integer> resident) {
        return new Endpoint(
                "e" + n, "s", "127.0.0.1", n, "a", "v1", Endpoint.State.READY, 64, 1, Map.of("m", resident));
    }

    private static EngineSelector.Need need(AdapterRef ref, int version) {
        return new EngineSelector.Need("r1", ref, version, 800, 1_000);
    }

    private EngineSelector.Selection select(List<Endpoint> engines, AdapterRef ref) {
        return selector.select(engines, need(ref, 0), Set.of());
    }

    @Test
    void residentEngineIsPreferredToAnIdleOne() {
        loads.requestStarted("e1", 2_000);
        EngineSelector.Selection s = select(List.of(engine(1, Map.of("a1", 1)), engine(2, Map.of())), adapter(1));
        assertThat(s.engine().id()).isEqualTo("e1");
        assertThat(s.resident()).isTrue();
    }

    @ParameterizedTest
    @CsvSource({"1, 20000, false", "5, 20000, true", "5, 2000, false"})
    void copyIsLoadedOnlyForAnAdapterInDemandOnABackloggedEngine(int requests, long backlog, boolean copied) {
        loads.requestStarted("e1", backlog);
        for (int i = 0; i < requests; i++) {
            demand.recordRequest(adapter(1));
        }
        EngineSelector.Selection s = select(List.of(engine(1, Map.of("a1", 1)), engine(2, Map.of())), adapter(1));
        assertThat(s.copyTarget() != null).isEqualTo(copied);
    }

    /** Many hosts, each of which sees few of the requests for a popular adapter. */
    @Test
    void copyIsLoadedForAnAdapterThatIsInDemandAtAllNodesTogether() {
        List<Endpoint> engines = List.of(engine(1, Map.of("a1", 1)), engine(2, Map.of()));
        loads.requestStarted("e1", 20_000);
        demand.recordRequest(adapter(1));
        usage.updatePeer("n2", Map.of("e1", List.of(adapter(1), adapter(1))));
        assertThat(select(engines, adapter(1)).copyTarget()).isNull();
        usage.updatePeer("n3", Map.of("e1", List.of(adapter(1))));
        assertThat(select(engines, adapter(1)).copyTarget()).isNotNull();
        usage.removePeer("n3");
        assertThat(select(engines, adapter(1)).copyTarget()).isNull();
        usage.updateReported(Map.of(), List.of(adapter(1)));
        assertThat(select(engines, adapter(1)).copyTarget()).isNotNull();
    }

    /** Queues of engines with few request slots, which become free more rarely than those of engines with many. */
    @ParameterizedTest
    @CsvSource({"64, 2, 62", "12, 2, 333", "12, 0, 0"})
    void waitForARequestSlotFollowsTheNumberOfSlots(int slots, int queued, long waitMs) {
        for (int i = 0; i < slots + queued; i++) {
            loads.requestStarted("e1", 0);
        }
        Endpoint e = new Endpoint("e1", "s", "127.0.0.1", 1, "a", "v1", Endpoint.State.READY, slots, 1, Map.of());
        assertThat(selector.waitMs(e)).isBetween(waitMs - 1.0, waitMs + 1.0);
    }

    @Test
    void rareAdapterReturnsToTheEngineWhereItWasResident() {
        List<Endpoint> engines = List.of(engine(1, Map.of()), engine(2, Map.of()), engine(3, Map.of()));
        for (Endpoint previous : engines) {
            AdapterRef ref = adapter(100 + previous.port());
            residency.update(previous.id(), new EngineResidency(1, 1, Map.of("m", Map.of(ref.adapter(), 1))));
            residency.update(previous.id(), new EngineResidency(1, 2, Map.of("m", Map.of())));
            EngineSelector.Selection s = select(engines, ref);
            assertThat(s.engine().id()).isEqualTo(previous.id());
            assertThat(s.resident()).isFalse();
        }
    }

    @Test
    void rareAdaptersAreSpreadOverTheEngines() {
        List<Endpoint> engines = List.of(engine(1, Map.of()), engine(2, Map.of()), engine(3, Map.of()));
        Set<String> selected = new HashSet<>();
        for (int n = 0; n < 30; n++) {
            selected.add(select(engines, adapter(n)).engine().id());
        }
        assertThat(selected).hasSize(3);
    }

    @Test
    void engineWhoseAdaptersAreAllInUseIsNotSelected() {
        List<Endpoint> engines = new ArrayList<>();
        for (int n = 1; n <= 3; n++) {
            engines.add(engine(n, Map.of("b1", 1, "b2", 1, "b3", 1, "b4", 1, "b5", 1)));
        }
        String usual = select(engines, adapter(7)).engine().id();
        for (int n = 1; n <= 5; n++) {
            usage.requestStarted(usual, new AdapterRef("m", "b" + n));
        }
        assertThat(select(engines, adapter(7)).engine().id()).isNotEqualTo(usual);
    }

    /** A load that an owner cannot perform was asked of the same engine by each request, until the end. */
    @ParameterizedTest
    @CsvSource({"false, false", "false, true", "true, false"})
    void engineThatItsOwnerDoesNotReachIsNoLoadTarget(boolean residentBefore, boolean allUnreachable) {
        List<Endpoint> engines = List.of(engine(1, Map.of()), engine(2, Map.of()), engine(3, Map.of()));
        Endpoint usual = select(engines, adapter(7)).engine();
        if (residentBefore) {
            residency.update(usual.id(), new EngineResidency(1, 1, Map.of("m", Map.of("a7", 1))));
            residency.update(usual.id(), new EngineResidency(1, 2, Map.of("m", Map.of())));
        }
        residency.recordUnreachableByOwner(usual);
        if (allUnreachable) {
            engines.forEach(residency::recordUnreachableByOwner);
        }
        EngineSelector.Selection s = select(engines, adapter(7));
        assertThat(s).isNotNull();
        if (!allUnreachable) {
            assertThat(s.engine()).isNotEqualTo(usual);
        }
    }

    /** Its owner is cut off from it, which this node need not be. */
    @Test
    void engineThatItsOwnerDoesNotReachServesWhatItHolds() {
        Endpoint holds = engine(1, Map.of("a1", 1));
        residency.recordUnreachableByOwner(holds);
        EngineSelector.Selection s = select(List.of(holds, engine(2, Map.of())), adapter(1));
        assertThat(s.engine()).isEqualTo(holds);
        assertThat(s.resident()).isTrue();
    }

    @Test
    void olderVersionIsNotSelectedAsResident() {
        EngineSelector.Selection s =
                selector.select(List.of(engine(1, Map.of("a1", 1))), need(adapter(1), 2), Set.of());
        assertThat(s.resident()).isFalse();
    }

    @Test
    void suspendedEngineIsSelectedOnlyIfThereIsNoOther() {
        Endpoint one = engine(1, Map.of("a1", 1));
        Endpoint two = engine(2, Map.of("a1", 1));
        outliers.recordUnreachable("e1");
        outliers.recordUnreachable("e1");
        assertThat(select(List.of(one, two), adapter(1)).engine().id()).isEqualTo("e2");
        assertThat(select(List.of(one), adapter(1)).engine().id()).isEqualTo("e1");
    }
}
