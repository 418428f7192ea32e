package org.quetzalvane.core.serve;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.quetzalvane.core.ResultCode;
import org.quetzalvane.core.choice.AdapterDemand;
import org.quetzalvane.core.choice.Admission;
import org.quetzalvane.core.choice.EndpointLoads;
import org.quetzalvane.core.choice.EngineSelector;
import org.quetzalvane.core.choice.OutlierDetector;
import org.quetzalvane.core.choice.PrefillEstimator;
import org.quetzalvane.core.choice.RetryBudgetShare;
import org.quetzalvane.core.choice.ServiceEndpointSelector;
import org.quetzalvane.core.fleet.Endpoint;
import org.quetzalvane.core.fleet.EndpointTable;
import org.quetzalvane.core.residency.AdapterLoader;
import org.quetzalvane.core.residency.AdapterUsage;
import org.quetzalvane.core.residency.LoadRequest;
import org.quetzalvane.core.residency.ResidencyTable;
import org.quetzalvane.core.routes.AdapterRef;
import org.quetzalvane.core.routes.CurrentConfig;
import org.quetzalvane.core.routes.EngineSpec;
import org.quetzalvane.core.routes.IngressLimits;
import org.quetzalvane.core.routes.RequiredVersions;
import org.quetzalvane.core.routes.Route;
import org.quetzalvane.core.routes.RouteKind;
import org.quetzalvane.core.routes.ServiceSpec;
import org.quetzalvane.core.routes.ServingConfig;
import org.quetzalvane.core.routes.TrafficSplit;
import org.quetzalvane.core.time.ManualScheduler;

import static org.assertj.core.api.Assertions.assertThat;

/** The path of one request on the paused clock, with endpoints that do as the test says. */
class RequestFlowTest {
    private static final AdapterRef HELD = new AdapterRef("m", "a1");
    private static final AdapterRef RARE = new AdapterRef("m", "a9");

    private final ManualScheduler clock = new ManualScheduler();
    private final CurrentConfig config = new CurrentConfig();
    private final EndpointTable endpoints = new EndpointTable(clock);
    private final EndpointLoads loads = new EndpointLoads();
    private final AdapterUsage use = new AdapterUsage(clock);
    private final Calls calls = new Calls();
    private final Broker broker = new Broker();
    private final Answer answer = new Answer();
    private final ServingContext state = state();

    private ServingContext state() {
        OutlierDetector outliers = new OutlierDetector(clock);
        ResidencyTable residency = new ResidencyTable(clock);
        PrefillEstimator prefill = new PrefillEstimator();
        AdapterDemand demand = new AdapterDemand(clock);
        EngineSelector.Inputs view = new EngineSelector.Inputs(loads, use, demand, residency, outliers, prefill);
        return new ServingContext(
                clock,
                config,
                new RequiredVersions(),
                endpoints,
                loads,
                use,
                residency,
                broker,
                outliers,
                prefill,
                demand,
                new EngineSelector(view, "a", e -> true),
                new ServiceEndpointSelector(loads, outliers, "a"),
                new Admission(),
                new RetryBudgetShare(clock, 0.2, 50, 10_000, () -> 1),
                calls,
                (code, subject, fields) -> {});
    }

    @BeforeEach
    void configure() {
        List<Route> routes = new ArrayList<>();
        for (RouteKind kind : RouteKind.values()) {
            String service = kind == RouteKind.STREAMING ? "engines" : "plain";
            routes.add(new Route(
                    kind.name(),
                    "h",
                    "/" + kind + "/",
                    kind,
                    3_000,
                    300,
                    1,
                    List.of(new TrafficSplit(service, 1)),
                    2,
                    true,
                    300));
        }
        ServiceSpec plain = new ServiceSpec("plain", 10, null);
        ServiceSpec engines = new ServiceSpec("engines", 10, new EngineSpec(4, 1_000, List.of(), 10, 4));
        config.update(new ServingConfig(1, routes, List.of(plain, engines), IngressLimits.DEFAULT));
        for (int n = 1; n <= 2; n++) {
            endpoints.apply(endpoint("plain-" + n, "plain"));
            endpoints.apply(endpoint("engine-" + n, "engines"));
        }
    }

    private static Endpoint endpoint(String id, String service) {
        Map<String, Map<String, Integer>> held = Map.of("m", Map.of("a1", 1));
        return new Endpoint(id, service, "127.0.0.1", 1, "a", Endpoint.State.READY, 4, 1, held);
    }

    private RequestFlow start(RouteKind kind, AdapterRef adapter) {
        CallerRequest r = new CallerRequest(
                "id",
                "POST",
                "h",
                "/" + kind + "/x",
                "/" + kind + "/x",
                List.of(),
                new byte[0],
                5_000,
                adapter,
                new TokenCounts(100, 0, 0),
                null);
        RequestFlow flow = new RequestFlow(state, r, answer);
        flow.start();
        return flow;
    }

    private static ResponseHead head(int status, boolean notRun) {
        return new ResponseHead(status, List.of(), notRun, status == 421, true, status == 200, -1);
    }

    private void pass(long ms) {
        clock.advance(Duration.ofMillis(ms));
    }

    @Test
    void answerThatMayNotBeRepeatedIsNeitherSentAgainNorCalledNotRun() {
        start(RouteKind.NON_IDEMPOTENT, null);
        calls.last().failed(false, "reset");
        assertThat(calls.sent).hasSize(1);
        assertThat(answer.refused).isEqualTo(ResultCode.OUTCOME_UNKNOWN);
    }

    @ParameterizedTest
    @EnumSource(RouteKind.class)
    void connectionThatWasNeverMadeIsTriedElsewhere(RouteKind kind) {
        start(kind, kind == RouteKind.STREAMING ? HELD : null);
        String first = calls.sent.get(0);
        calls.last().failed(true, "refused");
        assertThat(calls.sent).hasSize(2).last().isNotEqualTo(first);
    }

    @ParameterizedTest
    @CsvSource({"503", "429", "421", "400"})
    void requestThatNobodyRanIsRefusedWithATimeToComeBack(int status) {
        start(RouteKind.NON_IDEMPOTENT, null);
        while (answer.refused == null) {
            calls.last().head(head(status, true));
        }
        assertThat(calls.sent).hasSize(2);
        assertThat(answer.refused.provesNotRun()).isTrue();
        assertThat(answer.retryAfterMs).isPositive();
    }

    @Test
    void refusalAfterASendThatMayHaveRunPromisesNothing() {
        start(RouteKind.IDEMPOTENT, null);
        calls.last().failed(false, "reset");
        calls.last().head(head(503, true));
        while (answer.refused == null) {
            calls.last().head(head(503, true));
        }
        assertThat(answer.refused.provesNotRun()).isFalse();
    }

    @Test
    void silentEndpointIsLeftForAnotherWhereARequestMayRunTwice() {
        start(RouteKind.IDEMPOTENT, null);
        pass(1_000);
        assertThat(calls.sent).hasSize(2);
        assertThat(calls.cancelled).isEqualTo(1);
    }

    @Test
    void silentEndpointIsWaitedForWhereARequestMayRunOnce() {
        start(RouteKind.NON_IDEMPOTENT, null);
        pass(2_900);
        assertThat(calls.sent).hasSize(1);
        pass(100);
        assertThat(answer.refused).isEqualTo(ResultCode.PROGRESS_TIMEOUT);
        assertThat(calls.cancelled).isEqualTo(1);
    }

    @Test
    void workOfACallerThatLeftIsStopped() {
        RequestFlow flow = start(RouteKind.NON_IDEMPOTENT, null);
        flow.callerDisconnected();
        assertThat(calls.cancelled).isEqualTo(1);
        assertThat(loads.own()).isEmpty();
    }

    @Test
    void streamThatBreaksWithinAnEventGoesOnAfterTheLastWholeOne() {
        start(RouteKind.STREAMING, HELD);
        calls.last().head(head(200, false));
        calls.last().body("id: 1\ndata: a\n\nid: 2\nda".getBytes());
        calls.last().failed(false, "reset");
        assertThat(calls.dispatches.get(1).lastEventId()).isEqualTo("1");
        calls.last().head(head(200, false));
        calls.last().body("id: 2\ndata: b\n\n".getBytes());
        calls.last().end();
        assertThat(answer.body).hasToString("id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
        assertThat(answer.ended).isTrue();
    }

    @Test
    void streamThatEndsWithinAnEventIsNotPassedOnAsWhole() {
        start(RouteKind.STREAMING, HELD);
        for (int i = 0; i < 2; i++) {
            calls.last().head(head(200, false));
            calls.last().body("id: 1\ndata: a\n\nid: 2\nda".getBytes());
            calls.last().end();
        }
        assertThat(answer.ended).isFalse();
        assertThat(answer.aborted).isTrue();
    }

    @Test
    void adapterNobodyHoldsIsLoadedFirstAndTheRequestSentThere() {
        start(RouteKind.STREAMING, RARE);
        assertThat(calls.sent).isEmpty();
        broker.answer(AdapterLoader.Outcome.RESIDENT);
        assertThat(calls.sent).containsExactly(broker.engines.get(0));
    }

    @Test
    void requestWhoseAdapterFindsNoPlaceIsRefusedAsNotRun() {
        start(RouteKind.STREAMING, RARE);
        while (answer.refused == null) {
            broker.answer(AdapterLoader.Outcome.REFUSED);
        }
        assertThat(answer.refused.provesNotRun()).isTrue();
        assertThat(answer.retryAfterMs).isGreaterThanOrEqualTo(1_000);
        assertThat(calls.sent).isEmpty();
    }

    /** A stream that breaks long after its start still gets the time of a load at another engine. */
    @Test
    void brokenStreamMayWaitForALoadElsewhere() {
        endpoints.apply(new Endpoint(
                "engine-2", "engines", "127.0.0.1", 1, "a", Endpoint.State.READY, 4, 2, Map.of("m", Map.of())));
        start(RouteKind.STREAMING, HELD);
        calls.last().head(head(200, false));
        for (int i = 1; i <= 20; i++) {
            pass(100);
            calls.last().body(("id: " + i + "\ndata: a\n\n").getBytes());
        }
        calls.last().failed(false, "reset");
        assertThat(broker.engines).endsWith("engine-2");
        assertThat(calls.sent).containsExactly("engine-1", "engine-2");
        assertThat(answer.aborted).isFalse();
    }

    /** Load pattern of a crash under full places: streams that break find no place at first. */
    @ParameterizedTest
    @CsvSource({"5, true", "40, false"})
    void brokenStreamIsHeldForAPlaceAsLongAsItsCallerWaits(int refusals, boolean goesOn) {
        endpoints.apply(new Endpoint(
                "engine-2", "engines", "127.0.0.1", 1, "a", Endpoint.State.READY, 4, 2, Map.of("m", Map.of())));
        start(RouteKind.STREAMING, RARE);
        broker.answer(AdapterLoader.Outcome.RESIDENT);
        calls.last().head(head(200, false));
        calls.last().body("id: 1\ndata: a\n\n".getBytes());
        calls.last().failed(false, "reset");
        for (int i = 0; i < refusals && !answer.aborted; i++) {
            broker.answer(AdapterLoader.Outcome.REFUSED);
            pass(100);
        }
        broker.answer(AdapterLoader.Outcome.RESIDENT);
        assertThat(calls.sent).hasSize(goesOn ? 2 : 1);
        assertThat(answer.aborted).isNotEqualTo(goesOn);
    }

    @Test
    void engineWithoutADutyHolderIsWaitedForOnlyShortly() {
        start(RouteKind.STREAMING, RARE);
        for (int i = 0; i < 10 && answer.refused == null; i++) {
            broker.answer(AdapterLoader.Outcome.NO_OWNER);
            pass(250);
        }
        assertThat(answer.refused).isEqualTo(ResultCode.LOAD_FAILED);
    }

    /** Keeps each send open until the test answers it. */
    private static final class Calls implements EndpointClient {
        private final List<String> sent = new ArrayList<>();
        private final List<EndpointRequest> dispatches = new ArrayList<>();
        private final List<Listener> listeners = new ArrayList<>();
        private int cancelled;

        Listener last() {
            return listeners.get(listeners.size() - 1);
        }

        @Override
        public Call send(Endpoint endpoint, EndpointRequest dispatch, Listener listener) {
            sent.add(endpoint.id());
            dispatches.add(dispatch);
            listeners.add(listener);
            return new Call() {
                @Override
                public void cancel() {
                    cancelled++;
                }

                @Override
                public void setReading(boolean on) {}
            };
        }
    }

    /** Keeps each load request open until the test answers it. */
    private static final class Broker implements AdapterLoader {
        private final List<String> engines = new ArrayList<>();
        private final Map<Integer, Consumer<Outcome>> open = new HashMap<>();

        void answer(Outcome o) {
            Consumer<Outcome> last = open.remove(engines.size());
            if (last != null) {
                last.accept(o);
            }
        }

        @Override
        public void load(Endpoint engine, LoadRequest wish, Consumer<Outcome> done) {
            engines.add(engine.id());
            if (wish.adapter().equals(HELD)) {
                done.accept(Outcome.RESIDENT);
            } else {
                open.put(engines.size(), done);
            }
        }

        @Override
        public boolean hasOwner(Endpoint engine) {
            return true;
        }
    }

    /** Notes what the caller gets. */
    private static final class Answer implements CallerResponse {
        private final StringBuilder body = new StringBuilder();
        private ResultCode refused;
        private long retryAfterMs;
        private boolean ended;
        private boolean aborted;

        @Override
        public void send(ResponseHead head, byte[] content) {
            body.append(new String(content));
            ended = true;
        }

        @Override
        public void begin(ResponseHead head) {}

        @Override
        public boolean write(byte[] part) {
            body.append(new String(part));
            return true;
        }

        @Override
        public void end() {
            ended = true;
        }

        @Override
        public void abort() {
            aborted = true;
        }

        @Override
        public void refuse(ResultCode code, long retryAfter) {
            refused = code;
            retryAfterMs = retryAfter;
        }
    }
}
