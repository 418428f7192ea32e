package org.quetzalvane.core.serve;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

import org.junit.jupiter.api.BeforeEach;
import org.quetzalvane.core.ResultCode;
import org.quetzalvane.core.choice.AdapterDemand;
import org.quetzalvane.core.choice.Admission;
import org.quetzalvane.core.choice.EndpointLoads;
import org.quetzalvane.core.choice.EngineSelector;
import org.quetzalvane.core.choice.OutlierDetector;
import org.quetzalvane.core.choice.PrefillEstimator;
import org.quetzalvane.core.choice.RetryBudgetShare;
import org.quetzalvane.core.choice.ServiceEndpointSelector;
import org.quetzalvane.core.event.EventCode;
import org.quetzalvane.core.fleet.Endpoint;
import org.quetzalvane.core.fleet.EndpointTable;
import org.quetzalvane.core.limit.EndpointPermits;
import org.quetzalvane.core.limit.MemoryAccount;
import org.quetzalvane.core.limit.Permit;
import org.quetzalvane.core.quarantine.RequestContent;
import org.quetzalvane.core.residency.AdapterLoader;
import org.quetzalvane.core.residency.AdapterUsage;
import org.quetzalvane.core.residency.LoadRequest;
import org.quetzalvane.core.residency.ResidencyTable;
import org.quetzalvane.core.routes.AccountTable;
import org.quetzalvane.core.routes.AdapterRef;
import org.quetzalvane.core.routes.ConfigSource;
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

/** Requests on a manual clock, with endpoints, loads and stream origins controlled by the test. */
abstract class RequestFlowFixture {
    /** Age of the configuration up to which it is up to date, ms. */
    static final long MAX_CONFIG_AGE_MS = 2_000;

    static final long MEMORY_BYTES = 60 * 1024 * 1024;
    static final AdapterRef RESIDENT_ADAPTER = new AdapterRef("m", "a1");
    static final List<String> SHARED_PARTS = List.of("a1", "b2");
    static final AdapterRef MISSING_ADAPTER = new AdapterRef("m", "a9");

    final ManualScheduler clock = new ManualScheduler();
    /** Time since the store last answered the source of the configuration, ms. */
    long configAgeMs;

    private final CurrentConfig config =
            new CurrentConfig(() -> new ConfigSource("store", configAgeMs), MAX_CONFIG_AGE_MS);
    final EndpointTable endpoints = new EndpointTable(clock);
    final EndpointLoads loads = new EndpointLoads();
    private final AdapterUsage adapterUsage = new AdapterUsage(clock);
    final FakeEndpointClient client = new FakeEndpointClient();
    final FakeAdapterLoader loader = new FakeAdapterLoader();
    final FakeStreamOrigins origins = new FakeStreamOrigins();
    final FakeServedVersions servedVersions = new FakeServedVersions();
    final FakeQuarantine quarantine = new FakeQuarantine();
    final FakePermits permits = new FakePermits();
    final FakeAllowances allowances = new FakeAllowances();
    final MemoryAccount memory = new MemoryAccount(MEMORY_BYTES);
    final GracePeriod gracePeriod = new GracePeriod(clock);
    boolean keysVerifiable = true;
    final FakeCallerResponse response = new FakeCallerResponse();
    /** Number of nodes that share the retry budget. */
    int retryBudgetNodes = 1;

    private final RetryBudgetShare retryBudget = retryBudgetAfterItsFirstWindow();
    final List<EventCode> logged = new ArrayList<>();
    private final ServingContext context = context();

    private RetryBudgetShare retryBudgetAfterItsFirstWindow() {
        RetryBudgetShare share = new RetryBudgetShare(clock, 0.2, 50, 10_000, () -> retryBudgetNodes);
        clock.advance(Duration.ofSeconds(10));
        return share;
    }

    private ServingContext context() {
        OutlierDetector outliers = new OutlierDetector(clock);
        ResidencyTable residency = new ResidencyTable(clock);
        PrefillEstimator prefill = new PrefillEstimator();
        AdapterDemand demand = new AdapterDemand(clock);
        EngineSelector.Inputs inputs =
                new EngineSelector.Inputs(loads, adapterUsage, demand, residency, outliers, prefill, permits);
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
                new ServiceEndpointSelector(loads, outliers, permits, "a"),
                permits,
                allowances,
                () -> keysVerifiable,
                new Admission(),
                retryBudget,
                origins,
                servedVersions,
                quarantine,
                gracePeriod,
                memory,
                client,
                (code, subject, fields) -> logged.add(code));
    }

    @BeforeEach
    void configure() {
        configure(1, null, false);
        for (int n = 1; n <= 2; n++) {
            endpoints.apply(endpoint("plain-" + n, "plain"));
            endpoints.apply(endpoint("engine-" + n, "engines"));
        }
    }

    /** Puts a version in force with one route of each kind, whose path begins with the kind. */
    void configure(long version, AccountTable accounts, boolean routesArePublic) {
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
                    300,
                    routesArePublic));
        }
        ServiceSpec plain = new ServiceSpec("plain", 10, null);
        ServiceSpec engines = new ServiceSpec("engines", 10, new EngineSpec(4, 1_000, List.of(), 10, 4));
        config.update(new ServingConfig(version, routes, List.of(plain, engines), IngressLimits.DEFAULT, accounts));
    }

    private static Endpoint endpoint(String id, String service) {
        return endpoint(id, service, "v1", Map.of("m", Map.of("a1", 1)));
    }

    static Endpoint endpoint(
            String id, String service, String softwareVersion, Map<String, Map<String, Integer>> resident) {
        return new Endpoint(id, service, "127.0.0.1", 1, "a", softwareVersion, Endpoint.State.READY, 4, 1, resident);
    }

    /** A new instance of an engine, without adapters. */
    static Endpoint restarted(String id) {
        return new Endpoint(
                id, "engines", "127.0.0.1", 1, "a", "v1", Endpoint.State.READY, 4, 2, Map.of("m", Map.of()));
    }

    RequestFlow start(RouteKind kind, AdapterRef adapter) {
        return start(kind, adapter, null, null);
    }

    RequestFlow start(RouteKind kind, AdapterRef adapter, String lastEventId, String resumes) {
        return start(request(kind, adapter, lastEventId, resumes));
    }

    RequestFlow start(CallerRequest request) {
        RequestFlow flow = new RequestFlow(context, request, response);
        flow.start();
        return flow;
    }

    static CallerRequest request(RouteKind kind, AdapterRef adapter, String lastEventId, String resumes) {
        return request("id", kind, adapter, lastEventId, resumes);
    }

    static CallerRequest request(String id, RouteKind kind, AdapterRef adapter, String lastEventId, String resumes) {
        return new CallerRequest(
                id,
                "POST",
                "h",
                "/" + kind + "/x",
                "/" + kind + "/x",
                List.of(),
                new byte[0],
                5_000,
                adapter,
                new TokenCounts(100, 0, 0, TokenCounts.Statement.VALID),
                lastEventId,
                resumes,
                SHARED_PARTS,
                Credentials.NONE);
    }

    /** What the quarantine is told of a request that {@link #start} starts. */
    static RequestContent content(RouteKind kind, AdapterRef adapter) {
        CallerRequest r = request(kind, adapter, null, null);
        String service = kind == RouteKind.STREAMING ? "engines" : "plain";
        return RequestContent.of(service, RequestIdentity.of(r), r.sharedParts(), r.id());
    }

    static ResponseHead head(int status, boolean notRun) {
        return new ResponseHead(status, List.of(), notRun, status == 421, true, status == 200, -1, false);
    }

    /** Head of a complete response that is not a stream. */
    static ResponseHead plainHead(int status) {
        return new ResponseHead(status, List.of(), false, false, true, false, -1, true);
    }

    void spendRetryBudget(String service) {
        spendRetryBudget(service, 0);
    }

    /** Spends all retries of a service but some. */
    void spendRetryBudget(String service, int left) {
        int available = availableRetries(service);
        for (int i = left; i < available; i++) {
            retryBudget.tryReserve(service).use();
        }
    }

    /** Retries that are left to a service. */
    int availableRetries(String service) {
        List<RetryBudgetShare.Reservation> available = new ArrayList<>();
        for (RetryBudgetShare.Reservation r = retryBudget.tryReserve(service); r != null; ) {
            available.add(r);
            r = retryBudget.tryReserve(service);
        }
        available.forEach(RetryBudgetShare.Reservation::release);
        return available.size();
    }

    void advance(long ms) {
        clock.advance(Duration.ofMillis(ms));
    }

    /** Fake that grants each permit, unless the endpoint is limited: then it keeps the request until the test replies. */
    static final class FakePermits implements EndpointPermits {
        final Map<String, Long> waits = new HashMap<>();
        final List<String> asked = new ArrayList<>();
        final List<Integer> ranks = new ArrayList<>();
        final List<String> returned = new ArrayList<>();
        final List<Consumer<Permit>> pending = new ArrayList<>();
        Consumer<Permit> last;

        /** Decides on every request that waits for a permit. */
        void decideAll(Permit permit) {
            List<Consumer<Permit>> waiting = List.copyOf(pending);
            pending.clear();
            waiting.forEach(done -> done.accept(permit));
        }

        @Override
        public long waitMs(Endpoint e) {
            return waits.getOrDefault(e.id(), 0L);
        }

        @Override
        public long intervalMs(Endpoint e) {
            return waits.containsKey(e.id()) ? 500 : 0;
        }

        @Override
        public void acquire(Endpoint e, int rank, long maxWaitMs, Consumer<Permit> done) {
            if (!waits.containsKey(e.id())) {
                done.accept(Permit.UNLIMITED);
                return;
            }
            asked.add(e.id());
            ranks.add(rank);
            last = done;
            pending.add(done);
        }

        @Override
        public void giveBack(Endpoint e) {
            returned.add(e.id());
        }
    }

    /** Fake that keeps each load request open until the test completes it. */
    static final class FakeAdapterLoader implements AdapterLoader {
        final List<String> engines = new ArrayList<>();
        final Map<Integer, Consumer<Outcome>> open = new HashMap<>();
        LoadRequest lastRequest;
        /** Outcome for the adapter that is resident everywhere. */
        Outcome residentOutcome = Outcome.RESIDENT;

        /** Completes every load that requests wait for, and those that are requested meanwhile. */
        void completeAll(Outcome outcome) {
            while (!open.isEmpty()) {
                open.remove(Collections.min(open.keySet())).accept(outcome);
            }
        }

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
                done.accept(residentOutcome);
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
    static final class FakeCallerResponse implements CallerResponse {
        final StringBuilder body = new StringBuilder();
        ResultCode errorCode;
        long retryAfterMs;
        boolean ended;
        boolean aborted;
        boolean full;
        /** Asked when the request looks whether its caller still waits. */
        BooleanSupplier present = () -> true;

        @Override
        public boolean callerPresent() {
            return present.getAsBoolean();
        }

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
            return !full;
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

    /** Fake that knows the versions of the listed endpoints; those that the test names are not established. */
    final class FakeServedVersions implements ServedVersions {
        final Set<String> pending = new HashSet<>();
        /** Services whose versions were to be established. */
        final List<String> establish = new ArrayList<>();

        @Override
        public void find(String service, Consumer<Set<String>> done) {
            done.accept(endpoints.softwareVersions(service));
        }

        @Override
        public boolean isEstablished(Endpoint e) {
            return !pending.contains(e.softwareVersion());
        }

        @Override
        public void establish(String service) {
            establish.add(service);
        }
    }

    /** Fake that completes each lookup at once, or when the test does. */
    static final class FakeStreamOrigins implements StreamOrigins {
        final Map<String, String> known = new HashMap<>();
        final Map<String, String> archived = new HashMap<>();
        final List<Runnable> pending = new ArrayList<>();
        boolean held;

        @Override
        public void findArchived(String requestId, Consumer<String> done) {
            done.accept(archived.get(requestId));
        }

        @Override
        public void record(String requestId, String softwareVersion) {
            known.put(requestId, softwareVersion);
        }

        @Override
        public void find(String requestId, Consumer<String> done) {
            Runnable complete = () -> done.accept(known.get(requestId));
            if (held) {
                pending.add(complete);
            } else {
                complete.run();
            }
        }
    }
}
