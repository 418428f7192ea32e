package org.quetzalvane.core.residency;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.quetzalvane.core.fleet.Endpoint;
import org.quetzalvane.core.routes.AdapterRef;
import org.quetzalvane.core.routes.BaseModel;
import org.quetzalvane.core.routes.EngineSpec;
import org.quetzalvane.core.time.ManualScheduler;

import static org.assertj.core.api.Assertions.assertThat;

class EngineControllerTest {
    private static final EngineSpec SPEC = new EngineSpec(4, 1_000, List.of(new BaseModel("m", 10, 1)), 100, 3);

    private final ManualScheduler clock = new ManualScheduler();
    private final AdapterUsage use = new AdapterUsage(clock);
    private final FakeEngine engine = new FakeEngine();
    private final List<String> answers = new ArrayList<>();
    private long token = 5;
    private EngineController duty;

    private static AdapterRef adapter(int n) {
        return new AdapterRef("m", "a" + n);
    }

    @BeforeEach
    void open() {
        Endpoint e = new Endpoint("e1", "s", "127.0.0.1", 1, "a", Endpoint.State.READY, 4, 1, Map.of());
        EngineController.Context shared = new EngineController.Context(
                clock, engine, (c, s, f) -> {}, use, new LoadTimeEstimator(clock, () -> 0, () -> 6));
        duty = new EngineController(shared, () -> token, SPEC, e);
    }

    private void ask(int n) {
        duty.request(new LoadRequest(adapter(n), 0, 1, 1_000, 2_000), ok -> answers.add("a" + n + "=" + ok));
    }

    private void pass(long ms) {
        clock.advance(Duration.ofMillis(ms));
    }

    @Test
    void callersOfOneRareAdapterWaitForOneLoad() {
        for (int i = 0; i < 5; i++) {
            ask(9);
        }
        pass(600);
        assertThat(engine.log).containsExactly("LOAD a9 expect 0 token 5");
        assertThat(answers).hasSize(5).containsOnly("a9=true");
    }

    @Test
    void leastRecentlyUsedIdleAdapterMakesWay() {
        engine.held.putAll(Map.of("a1", 1, "a2", 1, "a3", 1));
        use.markUsed("e1", adapter(1));
        pass(700);
        use.markUsed("e1", adapter(2));
        use.requestStarted("e1", adapter(3));
        ask(9);
        pass(800);
        assertThat(engine.log).containsExactly("UNLOAD a1 expect 0 token 5", "LOAD a9 expect 1 token 5");
        assertThat(answers).containsExactly("a9=true");
    }

    @Test
    void adapterInUseIsNeverEvictedAndTheLoadWaitsForAPlace() {
        engine.held.putAll(Map.of("a1", 1, "a2", 1, "a3", 1));
        for (int n = 1; n <= 3; n++) {
            use.requestStarted("e1", adapter(n));
        }
        ask(9);
        pass(1_000);
        assertThat(engine.log).isEmpty();
        use.requestEnded("e1", adapter(2));
        pass(PlaceTable.EVICTION_AGE_MS + 400);
        assertThat(engine.log).containsExactly("UNLOAD a2 expect 0 token 5", "LOAD a9 expect 1 token 5");
    }

    @Test
    void adapterThatAPeerReportsInUseIsNotEvicted() {
        engine.held.putAll(Map.of("a1", 1, "a2", 1, "a3", 1));
        use.updatePeer("peer", Map.of("e1", Set.of(adapter(1), adapter(2), adapter(3))));
        ask(9);
        pass(1_900);
        assertThat(engine.log).isEmpty();
        pass(200);
        assertThat(answers).containsExactly("a9=false");
    }

    @Test
    void noOrderGoesOutWithoutAToken() {
        token = -1;
        ask(9);
        pass(1_900);
        assertThat(engine.log).isEmpty();
        token = 6;
        pass(90);
        pass(400);
        assertThat(engine.log).isEmpty();
        ask(9);
        pass(600);
        assertThat(engine.log).containsExactly("LOAD a9 expect 0 token 6");
    }

    @ParameterizedTest
    @EnumSource(
            value = EngineOrders.Answer.class,
            names = {"CONFLICT", "UNKNOWN", "FENCED"})
    void orderInDoubtIsFollowedByAReportBeforeTheNext(EngineOrders.Answer answer) {
        engine.next.add(answer);
        ask(9);
        pass(400);
        int reports = engine.reports;
        pass(400);
        assertThat(reports).isEqualTo(2);
        assertThat(engine.log).hasSize(2);
        assertThat(answers).containsExactly("a9=true");
    }

    @Test
    void orderCarriedOutLateIsSeenThroughTheReport() {
        engine.next.add(EngineOrders.Answer.UNKNOWN);
        ask(9);
        pass(160);
        engine.held.put("a9", 1);
        engine.accepted = 1;
        pass(400);
        assertThat(engine.log).containsExactly("LOAD a9 expect 0 token 5");
        assertThat(answers).containsExactly("a9=true");
    }

    @Test
    void adapterHeldForCertainIsGrantedWhileAnotherOrderIsInDoubt() {
        engine.held.putAll(Map.of("a1", 1));
        ask(1);
        pass(200);
        engine.next.add(EngineOrders.Answer.CONFLICT);
        ask(9);
        ask(1);
        assertThat(answers).containsExactly("a1=true", "a1=true");
    }

    /** The engine ran a request that the holder had not heard of, so the unload waits and its place stays taken. */
    @Test
    void placeOfAnUnloadThatWaitsForRunsIsNotGivenAway() {
        engine.held.putAll(Map.of("a1", 1, "a2", 1, "a3", 1));
        engine.inUse.add("a1");
        use.requestStarted("e1", adapter(2));
        use.requestStarted("e1", adapter(3));
        ask(9);
        pass(PlaceTable.VACATING_MS - 500);
        assertThat(engine.log).containsExactly("UNLOAD a1 expect 0 token 5");
        engine.held.remove("a1");
        pass(1_000);
        ask(9);
        pass(600);
        assertThat(engine.log).hasSize(2).last().asString().startsWith("LOAD a9");
        assertThat(engine.most).isLessThanOrEqualTo(SPEC.adapterSlots());
    }

    /** A young engine has written more entries than it has accepted orders; that says nothing of its orders. */
    @Test
    void newEntriesOfAnEngineDoNotHoldUpItsOrders() {
        for (int n = 1; n <= 3; n++) {
            ask(n);
            pass(LoadTimeEstimator.FROM_STORE_MS);
            duty.refresh(new Endpoint("e1", "s", "127.0.0.1", 1, "a", Endpoint.State.READY, 4, 1, Map.of()));
        }
        pass(LoadTimeEstimator.FROM_STORE_MS);
        assertThat(engine.reports).isEqualTo(1);
        assertThat(answers).containsExactly("a1=true", "a2=true", "a3=true");
    }

    /** Load pattern of engines that leave every third order without an answer: the loads under way are not held up. */
    @Test
    void loadUnderWayEndsInItsTimeWhileAnotherOrderIsInDoubt() {
        ask(7);
        pass(EngineController.REPORT_PAUSE_MS);
        engine.next.add(EngineOrders.Answer.UNKNOWN);
        ask(9);
        engine.pending.add(adapter(7));
        engine.held.remove("a7");
        pass(LoadTimeEstimator.FROM_STORE_MS);
        assertThat(answers).contains("a7=true");
    }

    @Test
    void reportIsReadAtOnceAfterAnOrderWithoutAnAnswer() {
        ask(7);
        pass(1_000);
        int before = engine.reports;
        engine.next.add(EngineOrders.Answer.UNKNOWN);
        engine.unansweredMs = EngineController.REPORT_PAUSE_MS;
        ask(9);
        pass(EngineController.REPORT_PAUSE_MS + 1);
        assertThat(engine.reports).isEqualTo(before + 1);
        assertThat(engine.log).hasSize(3).last().asString().startsWith("LOAD a9");
    }

    @Test
    void loadThatWasTakenWithoutAnAnswerEndsInItsTime() {
        ask(7);
        pass(1_000);
        engine.next.add(EngineOrders.Answer.UNKNOWN);
        engine.pending.add(adapter(9));
        ask(9);
        pass(EngineController.REPORT_PAUSE_MS);
        engine.pending.clear();
        pass(LoadTimeEstimator.FROM_STORE_MS);
        assertThat(engine.log).hasSize(2);
        assertThat(answers).containsExactly("a7=true", "a9=true");
    }

    /** A report some hundred ms old still lists a load as on its way that has ended since. */
    @Test
    void reportOlderThanTheEndOfALoadDoesNotHideTheAdapter() {
        ask(7);
        pass(1_000);
        engine.held.remove("a7");
        engine.pending.add(adapter(7));
        engine.next.add(EngineOrders.Answer.UNKNOWN);
        ask(9);
        pass(EngineController.REPORT_PAUSE_MS);
        ask(7);
        assertThat(answers).containsExactly("a7=true", "a7=true");
    }

    /** A new version on its way takes a place beside the old one, so the old one goes first on a full engine. */
    @Test
    void newVersionNeverTakesAPlaceTooMany() {
        engine.held.putAll(Map.of("a1", 1, "a2", 1, "a3", 1));
        duty.request(new LoadRequest(adapter(2), 2, 1, 1_000, 2_000), ok -> answers.add("a2@2=" + ok));
        pass(600);
        assertThat(engine.log).containsExactly("UNLOAD a2 expect 0 token 5", "LOAD a2 expect 1 token 5");
        assertThat(engine.most).isLessThanOrEqualTo(SPEC.adapterSlots());
        assertThat(answers).containsExactly("a2@2=true");
    }

    @Test
    void emptyEngineIsGivenTheBaseModelFirst() {
        engine.models.clear();
        duty.refresh(duty.engine());
        pass(300);
        assertThat(engine.log).containsExactly("LOAD m expect 0 token 5");
    }

    /** Carries orders out at once and answers as told; otherwise as accepted. */
    private final class FakeEngine implements EngineOrders {
        private final Map<String, Integer> held = new HashMap<>();
        private final Set<String> models = new java.util.HashSet<>(Set.of("m"));
        private final Set<AdapterRef> pending = new java.util.HashSet<>();
        private final Set<String> inUse = new java.util.HashSet<>();
        private final Deque<Answer> next = new ArrayDeque<>();
        private final List<String> log = new ArrayList<>();
        private long accepted;
        private long unansweredMs;
        private int reports;
        private int most;

        @Override
        public void order(Endpoint e, Order o, Consumer<Answer> done) {
            String name = o.target().adapter().isEmpty()
                    ? o.target().model()
                    : o.target().adapter();
            log.add(o.action() + " " + name + " expect " + o.expectedOrders() + " token " + o.fencingToken());
            Answer usual = o.action() == Action.UNLOAD && !inUse.contains(name) ? Answer.HOLDS : Answer.ACCEPTED;
            Answer a = next.isEmpty() ? usual : next.remove();
            if (a == Answer.ACCEPTED || a == Answer.HOLDS) {
                accepted++;
                if (o.action() == Action.LOAD) {
                    most = Math.max(most, held.size() + 1);
                    held.put(name, Math.max(1, o.version()));
                } else if (!inUse.contains(name)) {
                    held.remove(name);
                }
                most = Math.max(most, held.size());
            }
            if (a == Answer.UNKNOWN && unansweredMs > 0) {
                clock.schedule(Duration.ofMillis(unansweredMs), () -> done.accept(a));
            } else {
                done.accept(a);
            }
        }

        @Override
        public void report(Endpoint e, Consumer<Report> done) {
            reports++;
            Map<String, Map<String, Integer>> all = new HashMap<>();
            models.forEach(m -> all.put(m, Map.copyOf(held)));
            done.accept(new Report(1, accepted, false, all, Set.copyOf(pending)));
        }
    }
}
