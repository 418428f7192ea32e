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
import org.quetzalvane.core.team.StreamOriginTable;
import org.quetzalvane.core.time.ManualScheduler;

import static org.assertj.core.api.Assertions.assertThat;

/** Handling of one request, on a manual clock and with endpoints controlled by the test. */
class RequestFlowTest {
    private static final AdapterRef RESIDENT_ADAPTER = new AdapterRef("m", "a1");
    private static final AdapterRef MISSING_ADAPTER = new AdapterRef("m", "a9");

    private final ManualScheduler clock = new ManualScheduler();
    private final CurrentConfig config = new CurrentConfig();
    private final EndpointTable endpoints = new EndpointTable(clock);
    private final EndpointLoads loads = new EndpointLoads();
    private final AdapterUsage adapterUsage = new AdapterUsage(clock);
    private final FakeEndpointClient client = new FakeEndpointClient();
    private final FakeAdapterLoader loader = new FakeAdapterLoader();
    private final FakeCallerResponse response = new FakeCallerResponse();
    private final ServingContext context = context();

    private ServingContext context() {
        OutlierDetector outliers = new OutlierDetector(clock);
        ResidencyTable residency = new ResidencyTable(clock);
        PrefillEstimator prefill = new PrefillEstimator();
        AdapterDemand demand = new AdapterDemand(clock);
        EngineSelector.Inputs inputs =
                new EngineSelector.Inputs(loads, adapterUsage, demand, residency, outliers, prefill);
        return new ServingContext(
                clock,
                config,
                new RequiredVersions(),
                endpoints,
                loads,
                adapterUsage,
                residency,
                loader,
                outliers,
                prefill,
                demand,
                new EngineSelector(inputs, "a", e -> true),
                new ServiceEndpointSelector(loads, outliers, "a"),
                new Admission(),
                new RetryBudgetShare(clock, 0.2, 50, 10_000, () -> 1),
                new StreamOriginTable(clock, "n1", List::of, (peer, message) -> false),
                client,
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
        Map<String, Map<String, Integer>> resident = Map.of("m", Map.of("a1", 1));
        return new Endpoint(id, service, "127.0.0.1", 1, "a", "v1", Endpoint.State.READY, 4, 1, resident);
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
                null,
                null);
        RequestFlow flow = new RequestFlow(context, r, response);
        flow.start();
        return flow;
    }

    private static ResponseHead head(int status, boolean notRun) {
        return new ResponseHead(status, List.of(), notRun, status == 421, true, status == 200, -1, false);
    }

    private void advance(long ms) {
        clock.advance(Duration.ofMillis(ms));
    }

    @Test
    void nonIdempotentRequestIsNeitherRetriedNorReportedAsNotRun() {
        start(RouteKind.NON_IDEMPOTENT, null);
        client.last().failed(false, "reset");
        assertThat(client.sent).hasSize(1);
        assertThat(response.errorCode).isEqualTo(ResultCode.OUTCOME_UNKNOWN);
    }

    @ParameterizedTest
    @EnumSource(RouteKind.class)
    void failedConnectionIsRetriedAtAnotherEndpoint(RouteKind kind) {
        start(kind, kind == RouteKind.STREAMING ? RESIDENT_ADAPTER : null);
        String first = client.sent.get(0);
        client.last().failed(true, "refused");
        assertThat(client.sent).hasSize(2).last().isNotEqualTo(first);
    }

    @ParameterizedTest
    @CsvSource({"503", "429", "421", "400"})
    void requestThatNoEndpointRanIsRefusedWithARetryTime(int status) {
        start(RouteKind.NON_IDEMPOTENT, null);
        while (response.errorCode == null) {
            client.last().head(head(status, true));
        }
        assertThat(client.sent).hasSize(2);
        assertThat(response.errorCode.provesNotRun()).isTrue();
        assertThat(response.retryAfterMs).isPositive();
    }

    @Test
    void refusalAfterAnAttemptThatMayHaveRunIsNotReportedAsNotRun() {
        start(RouteKind.IDEMPOTENT, null);
        client.last().failed(false, "reset");
        client.last().head(head(503, true));
        while (response.errorCode == null) {
            client.last().head(head(503, true));
        }
        assertThat(response.errorCode.provesNotRun()).isFalse();
    }

    @Test
    void stalledIdempotentRequestIsRetriedAtAnotherEndpoint() {
        start(RouteKind.IDEMPOTENT, null);
        advance(1_000);
        assertThat(client.sent).hasSize(2);
        assertThat(client.cancelled).isEqualTo(1);
    }

    @Test
    void stalledNonIdempotentRequestWaitsUntilItsDeadline() {
        start(RouteKind.NON_IDEMPOTENT, null);
        advance(2_900);
        assertThat(client.sent).hasSize(1);
        advance(100);
        assertThat(response.errorCode).isEqualTo(ResultCode.PROGRESS_TIMEOUT);
        assertThat(client.cancelled).isEqualTo(1);
    }

    @Test
    void requestOfADisconnectedCallerIsCancelled() {
        RequestFlow flow = start(RouteKind.NON_IDEMPOTENT, null);
        flow.callerDisconnected();
        assertThat(client.cancelled).isEqualTo(1);
        assertThat(loads.sum(List.of())).isEmpty();
    }

    @Test
    void streamBrokenOffWithinAnEventResumesAfterTheLastCompleteEvent() {
        start(RouteKind.STREAMING, RESIDENT_ADAPTER);
        client.last().head(head(200, false));
        client.last().body("id: 1\ndata: a\n\nid: 2\nda".getBytes());
        client.last().failed(false, "reset");
        assertThat(client.requests.get(1).lastEventId()).isEqualTo("1");
        client.last().head(head(200, false));
        client.last().body("id: 2\ndata: b\n\n".getBytes());
        client.last().end();
        assertThat(response.body).hasToString("id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
        assertThat(response.ended).isTrue();
    }

    @Test
    void streamThatEndsWithinAnEventIsNotReportedAsComplete() {
        start(RouteKind.STREAMING, RESIDENT_ADAPTER);
        for (int i = 0; i < 2; i++) {
            client.last().head(head(200, false));
            client.last().body("id: 1\ndata: a\n\nid: 2\nda".getBytes());
            client.last().end();
        }
        assertThat(response.ended).isFalse();
        assertThat(response.aborted).isTrue();
    }

    @Test
    void missingAdapterIsLoadedBeforeTheRequestIsSent() {
        start(RouteKind.STREAMING, MISSING_ADAPTER);
        assertThat(client.sent).isEmpty();
        loader.complete(AdapterLoader.Outcome.RESIDENT);
        assertThat(client.sent).containsExactly(loader.engines.get(0));
    }

    /** A load that ends later than expected must not cause a second load on another engine. */
    @Test
    void requestRefusedForItsAdapterWaitsForTheLoadOnTheSameEngineOnce() {
        start(RouteKind.STREAMING, MISSING_ADAPTER);
        loader.complete(AdapterLoader.Outcome.RESIDENT);
        String engine = loader.engines.get(0);
        client.last().head(head(421, true));
        assertThat(loader.engines).containsExactly(engine, engine);
        assertThat(loader.lastRequest.refused()).isTrue();
        loader.complete(AdapterLoader.Outcome.RESIDENT);
        assertThat(client.sent).containsExactly(engine, engine);
        client.last().head(head(421, true));
        assertThat(loader.engines).hasSize(3);
        assertThat(loader.engines.get(2)).isNotEqualTo(engine);
    }

    @Test
    void requestWithoutAnAdapterSlotIsRefusedAsNotRun() {
        start(RouteKind.STREAMING, MISSING_ADAPTER);
        while (response.errorCode == null) {
            loader.complete(AdapterLoader.Outcome.REFUSED);
        }
        assertThat(response.errorCode.provesNotRun()).isTrue();
        assertThat(response.retryAfterMs).isGreaterThanOrEqualTo(1_000);
        assertThat(client.sent).isEmpty();
    }

    /**
     * The limits on loads restart when a stream breaks off, so that a load can be requested long after the request
     * arrived.
     */
    @Test
    void loadLimitsRestartWhenAStreamBreaksOff() {
        endpoints.apply(new Endpoint(
                "engine-2", "engines", "127.0.0.1", 1, "a", "v1", Endpoint.State.READY, 4, 2, Map.of("m", Map.of())));
        start(RouteKind.STREAMING, RESIDENT_ADAPTER);
        client.last().head(head(200, false));
        for (int i = 1; i <= 20; i++) {
            advance(100);
            client.last().body(("id: " + i + "\ndata: a\n\n").getBytes());
        }
        client.last().failed(false, "reset");
        assertThat(loader.engines).endsWith("engine-2");
        assertThat(client.sent).containsExactly("engine-1", "engine-2");
        assertThat(response.aborted).isFalse();
    }

    /**
     * An engine that crashes while all adapter slots of the others are taken leaves streams for which no slot is free.
     * Parameters: refused load requests, 100 ms apart, before one succeeds, and whether the stream is resumed.
     */
    @ParameterizedTest
    @CsvSource({"5, true", "40, false"})
    void brokenOffStreamAsksForAnAdapterSlotUntilItsLoadWaitExpires(int refusals, boolean resumed) {
        endpoints.apply(new Endpoint(
                "engine-2", "engines", "127.0.0.1", 1, "a", "v1", Endpoint.State.READY, 4, 2, Map.of("m", Map.of())));
        start(RouteKind.STREAMING, MISSING_ADAPTER);
        loader.complete(AdapterLoader.Outcome.RESIDENT);
        client.last().head(head(200, false));
        client.last().body("id: 1\ndata: a\n\n".getBytes());
        client.last().failed(false, "reset");
        for (int i = 0; i < refusals && !response.aborted; i++) {
            loader.complete(AdapterLoader.Outcome.REFUSED);
            advance(100);
        }
        loader.complete(AdapterLoader.Outcome.RESIDENT);
        assertThat(client.sent).hasSize(resumed ? 2 : 1);
        assertThat(response.aborted).isNotEqualTo(resumed);
    }

    @Test
    void waitForAnEngineOwnerIsLimited() {
        start(RouteKind.STREAMING, MISSING_ADAPTER);
        for (int i = 0; i < 10 && response.errorCode == null; i++) {
            loader.complete(AdapterLoader.Outcome.NO_OWNER);
            advance(250);
        }
        assertThat(response.errorCode).isEqualTo(ResultCode.LOAD_FAILED);
    }

    /** Fake that keeps each request open until the test responds to it. */
    private static final class FakeEndpointClient implements EndpointClient {
        private final List<String> sent = new ArrayList<>();
        private final List<EndpointRequest> requests = new ArrayList<>();
        private final List<Listener> listeners = new ArrayList<>();
        private int cancelled;

        Listener last() {
            return listeners.get(listeners.size() - 1);
        }

        @Override
        public Call send(Endpoint endpoint, EndpointRequest request, Listener listener) {
            sent.add(endpoint.id());
            requests.add(request);
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

    /** Fake that keeps each load request open until the test completes it. */
    private static final class FakeAdapterLoader implements AdapterLoader {
        private final List<String> engines = new ArrayList<>();
        private final Map<Integer, Consumer<Outcome>> open = new HashMap<>();
        private LoadRequest lastRequest;

        void complete(Outcome outcome) {
            Consumer<Outcome> last = open.remove(engines.size());
            if (last != null) {
                last.accept(outcome);
            }
        }

        @Override
        public void load(Endpoint engine, LoadRequest request, Consumer<Outcome> done) {
            lastRequest = request;
            engines.add(engine.id());
            if (request.adapter().equals(RESIDENT_ADAPTER)) {
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

    /** Fake that records what the caller receives. */
    private static final class FakeCallerResponse implements CallerResponse {
        private final StringBuilder body = new StringBuilder();
        private ResultCode errorCode;
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
        public boolean write(byte[] chunk) {
            body.append(new String(chunk));
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
        public void sendError(ResultCode code, long retryAfter) {
            errorCode = code;
            retryAfterMs = retryAfter;
        }
    }
}
