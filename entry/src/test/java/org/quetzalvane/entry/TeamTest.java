package org.quetzalvane.entry;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

import org.junit.jupiter.api.Test;
import org.quetzalvane.core.choice.EndpointLoads;
import org.quetzalvane.core.event.StructuredLog;
import org.quetzalvane.core.fleet.Endpoint;
import org.quetzalvane.core.residency.AdapterLoader;
import org.quetzalvane.core.residency.AdapterUsage;
import org.quetzalvane.core.residency.EngineController;
import org.quetzalvane.core.residency.EngineOrders;
import org.quetzalvane.core.residency.LoadRequest;
import org.quetzalvane.core.residency.LoadTimeEstimator;
import org.quetzalvane.core.residency.ResidencyTable;
import org.quetzalvane.core.routes.AdapterRef;
import org.quetzalvane.core.routes.BaseModel;
import org.quetzalvane.core.routes.EngineSpec;
import org.quetzalvane.core.team.AssignedEngines;
import org.quetzalvane.core.team.AssignmentLease;
import org.quetzalvane.core.team.PeerTable;
import org.quetzalvane.core.time.ManualScheduler;

import static org.assertj.core.api.Assertions.assertThat;

/** Load requests that a node serves by its own duties. */
class TeamTest {
    private static final AdapterRef HELD = new AdapterRef("m", "a1");
    private static final AdapterRef RARE = new AdapterRef("m", "a9");
    private static final EngineSpec SPEC = new EngineSpec(4, 1_000, List.of(new BaseModel("m", 10, 1)), 100, 3);
    private static final Endpoint ENGINE =
            new Endpoint("e1", "s", "127.0.0.1", 1, "a", Endpoint.State.READY, 4, 1, Map.of("m", Map.of("a1", 1)));

    private final ManualScheduler clock = new ManualScheduler();
    private final StructuredLog log = (code, subject, fields) -> {};
    private final List<AdapterLoader.Outcome> outcomes = new ArrayList<>();

    /** What an engine holds for certain is granted while another order to it is in doubt and its state is not known. */
    @Test
    void adapterIsGrantedWhileTheStateOfItsEngineIsInDoubt() {
        AdapterUsage use = new AdapterUsage(clock);
        LoadTimeEstimator times = new LoadTimeEstimator(clock, () -> 0, () -> 1);
        PeerTable peers = new PeerTable(clock, "n1:1", Set.of());
        AssignmentLease lease = new AssignmentLease(clock, true, 3_000, 1, peers::mayStillOrder);
        EngineController.Context shared = new EngineController.Context(clock, new MuteEngine(), log, use, times);
        AssignedEngines book =
                new AssignedEngines(lease, e -> new EngineController(shared, () -> lease.token(0), SPEC, e));
        ResidencyTable residency = new ResidencyTable(clock);
        Team.Shared parts = new Team.Shared(peers, new EndpointLoads(), use, residency, lease, book, times, log);
        Team team = new Team(
                clock, parts, new Team.Self("n1:1", "n1:2", "a", () -> true, () -> false, () -> Map.of(), r -> {}));
        lease.update(1, Set.of(0), clock.nanoTime());
        clock.advance(Duration.ofSeconds(1));
        book.reconcile(List.of(ENGINE));
        ask(team, HELD);
        clock.advance(Duration.ofMillis(200));
        ask(team, RARE);
        clock.advance(Duration.ofMillis(1));
        assertThat(book.residencies()).isEmpty();
        ask(team, HELD);
        assertThat(outcomes).containsExactly(AdapterLoader.Outcome.RESIDENT, AdapterLoader.Outcome.RESIDENT);
    }

    private void ask(Team team, AdapterRef ref) {
        team.load(ENGINE, new LoadRequest(ref, 0, 1, 500, 1_000), outcomes::add);
    }

    /** Reports what it holds and refuses each order as if another had come between. */
    private static final class MuteEngine implements EngineOrders {
        @Override
        public void order(Endpoint engine, Order order, Consumer<Answer> done) {
            done.accept(Answer.CONFLICT);
        }

        @Override
        public void report(Endpoint engine, Consumer<Report> done) {
            done.accept(new Report(1, 0, false, Map.of("m", Map.of("a1", 1)), Set.of()));
        }
    }
}
