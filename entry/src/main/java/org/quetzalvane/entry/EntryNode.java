package org.quetzalvane.entry;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import io.netty.handler.codec.http.EmptyHttpHeaders;
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
import org.quetzalvane.core.event.StructuredLog;
import org.quetzalvane.core.fleet.Endpoint;
import org.quetzalvane.core.residency.AdapterUsage;
import org.quetzalvane.core.residency.EngineController;
import org.quetzalvane.core.residency.LoadTimeEstimator;
import org.quetzalvane.core.residency.ResidencyTable;
import org.quetzalvane.core.routes.IngressLimits;
import org.quetzalvane.core.routes.ServiceSpec;
import org.quetzalvane.core.serve.CallerRequest;
import org.quetzalvane.core.serve.CallerResponse;
import org.quetzalvane.core.serve.RequestFlow;
import org.quetzalvane.core.serve.ServingContext;
import org.quetzalvane.core.team.AssignedEngines;
import org.quetzalvane.core.team.AssignmentLease;
import org.quetzalvane.core.team.PeerTable;
import org.quetzalvane.platform.BootSettings;
import org.quetzalvane.platform.DirectoryProtocol;
import org.quetzalvane.platform.EndpointGateway;
import org.quetzalvane.platform.Ingress;
import org.quetzalvane.platform.StoreClient;
import org.quetzalvane.transport.Addresses;
import org.quetzalvane.transport.HttpClient;
import org.quetzalvane.transport.HttpServer;
import org.quetzalvane.transport.NettyEventLoop;
import org.quetzalvane.transport.PeerTransport;
import org.quetzalvane.transport.ServerExchange;
import org.quetzalvane.transport.ServerLimits;

/**
 * Entry host daemon: owns the state and the connections of the process.
 *
 * <p>All state is confined to the event loop. {@link #start}, {@link #stop}, {@link #close} and {@link
 * #awaitNotAccepting} may be called from other threads.
 */
final class EntryNode {
    /** Timeout of connecting to an endpoint, ms: callers allow one second, which should suffice for two endpoints. */
    private static final int CONNECT_TIMEOUT_MS = 400;
    /**
     * Timeout of a call to the store, ms; the published response time is 4 ms, and a slow store takes 60 times as long.
     */
    private static final long STORE_TIMEOUT_MS = 1_000;
    /**
     * Longest wait of a read of the operator's records, ms. A connection that fails silently hides a change for this
     * long, which stays within the 5 s of the stability window and within the bound for configuration changes.
     */
    private static final long CONFIG_WAIT_MS = 3_000;
    /**
     * Time without a join after which the group assigns a node's partitions to others, ms: twice the platform's
     * minimum.
     */
    private static final long ASSIGNMENT_TTL_MS = 2_000;
    /** Timeout of an order to an engine, ms; the network delay is 1 ms. */
    private static final long ORDER_TIMEOUT_MS = 150;
    /** Longest idle time, ms, of a kept connection that may carry a request that cannot be retried. */
    private static final long NON_RETRYABLE_MAX_IDLE_MS = 1_500;
    /** Time for which callers may use a response of the directory, s. */
    private static final double DIRECTORY_TTL_S = 2;
    /** Interval at which records are requested from the peers until the node is ready, ms. */
    private static final long PEER_RECORDS_INTERVAL_MS = 500;
    /** Part of the grace period that is reserved for ending the process, ms. */
    private static final long SHUTDOWN_MARGIN_MS = 700;
    /**
     * Time for which a draining node accepts requests, ms: a request sent up to 3 s after the signal to stop may be cut
     * off when the process ends.
     */
    private static final long ACCEPT_AFTER_STOP_MS = 2_500;
    /** One of this many successful requests is logged. */
    private static final int SUCCESSES_PER_LOG_LINE = 16;

    private final BootSettings settings;
    private final NettyEventLoop loop = new NettyEventLoop();
    private final JsonLineLog lineLog;
    private final StructuredLog log;
    private final NodeMetrics metrics = new NodeMetrics();

    private final PlatformState platform;
    private final EndpointLoads endpointLoads = new EndpointLoads();
    private final AdapterUsage adapterUsage = new AdapterUsage(loop);
    private final ResidencyTable residency = new ResidencyTable(loop);
    private final OutlierDetector outliers = new OutlierDetector(loop);
    private final PrefillEstimator prefillEstimator = new PrefillEstimator();
    private final LoadTimeEstimator loadTimes;

    private final PeerTable peers;
    private final AssignmentLease lease;
    private final AssignedEngines assignedEngines;
    private final PeerService peerService;
    private final AssignmentMember assignmentMember;
    private final EndpointGateway gateway;
    private final ServingContext servingContext;
    private final HttpServer callers;
    private final HttpServer readiness;
    private final HttpServer directory;
    private final CountDownLatch notAccepting = new CountDownLatch(1);
    private boolean leaving;

    EntryNode(BootSettings settings) {
        this.settings = settings;
        lineLog = new JsonLineLog(settings.nodeName(), loop::wallMillis, System.out);
        log = this::logEvent;
        loop.onFailure(this::taskFailed);
        HttpClient http = new HttpClient(loop, CONNECT_TIMEOUT_MS);
        StoreClient store = new StoreClient(http, loop, settings.store(), STORE_TIMEOUT_MS);
        platform = new PlatformState(loop, store, log, this::reconcile);
        gateway = new EndpointGateway(http, loop, settings.peers(), ORDER_TIMEOUT_MS, NON_RETRYABLE_MAX_IDLE_MS);
        peers = new PeerTable(loop, settings.peers(), settings.seeds());
        loadTimes = new LoadTimeEstimator(loop, peers::loadsInFlight, platform::readyEngineCount);
        lease = new AssignmentLease(
                loop,
                settings.fencingEnforced(),
                settings.leaseDurationMs(),
                settings.storePartitions(),
                peers::mayStillOrder);
        assignedEngines = new AssignedEngines(lease, this::createController);
        peerService = new PeerService(
                loop,
                new PeerService.Components(
                        peers, endpointLoads, adapterUsage, residency, lease, assignedEngines, loadTimes, log),
                localNode());
        assignmentMember = new AssignmentMember(
                loop,
                store.assignmentGroup(),
                lease,
                peers,
                log,
                new AssignmentMember.Identity(settings.peers(), ASSIGNMENT_TTL_MS),
                this::reconcile);
        servingContext = createServingContext();
        callers = new HttpServer(loop, this::callerLimits, this::serveCaller);
        readiness = new HttpServer(loop, this::callerLimits, this::serveReadiness);
        directory = new HttpServer(loop, this::callerLimits, this::serveDirectory);
        platform.endpoints().onNewInstance(this::resetInstance);
    }

    void start() {
        lineLog.start();
        log.log(EventCode.NODE_STARTED, settings.nodeName(), "peers", settings.peers());
        PeerTransport transport = new PeerTransport(loop, peerService::receive, peerService::connectionChanged);
        transport.listen(Addresses.parse(settings.peers()));
        callers.listen(Addresses.parse(settings.callers()));
        readiness.listen(Addresses.parse(settings.readiness()));
        directory.listen(Addresses.parse(settings.directory()));
        loop.execute(() -> {
            platform.start();
            assignmentMember.start();
            peerService.start(transport);
            loop.schedule(Duration.ofMillis(PEER_RECORDS_INTERVAL_MS), this::requestRecordsFromPeers);
        });
    }

    /**
     * Drains the node: leaves the group, closes caller connections after their current response, keeps accepting
     * requests for {@link #ACCEPT_AFTER_STOP_MS}, and returns when all responses are sent or shortly before the grace
     * period ends.
     */
    void stop() throws InterruptedException {
        long start = loop.nanoTime();
        loop.execute(() -> {
            leaving = true;
            log.log(EventCode.NODE_DRAINING, settings.nodeName(), "unanswered", callers.busyConnections());
            callers.drain();
            assignmentMember.leave();
            peerService.report();
            loop.schedule(Duration.ofMillis(ACCEPT_AFTER_STOP_MS), this::stopAccepting);
        });
        long limitMs = settings.gracePeriodMs() - SHUTDOWN_MARGIN_MS;
        CountDownLatch idle = new CountDownLatch(1);
        loop.execute(() -> awaitIdle(start, idle));
        idle.await(limitMs, TimeUnit.MILLISECONDS);
        log.log(EventCode.NODE_STOPPED, settings.nodeName());
        try {
            lineLog.flush();
        } catch (java.io.IOException e) {
            System.err.println("log not flushed: " + e);
        }
    }

    private void stopAccepting() {
        callers.stopAccepting();
        notAccepting.countDown();
    }

    /** Stops the event loop at once; requests in progress are dropped. */
    void close() {
        loop.close();
    }

    /** Waits until a draining node has closed its listening socket for callers. */
    void awaitNotAccepting() throws InterruptedException {
        notAccepting.await();
    }

    /** Polls until requests are no longer accepted and every response has been sent. */
    private void awaitIdle(long start, CountDownLatch idle) {
        boolean accepted = loop.nanoTime() - start > ACCEPT_AFTER_STOP_MS * 1_000_000;
        if (accepted && callers.busyConnections() == 0) {
            idle.countDown();
        } else {
            loop.schedule(Duration.ofMillis(50), () -> awaitIdle(start, idle));
        }
    }

    private ServingContext createServingContext() {
        RetryBudgetShare retries = new RetryBudgetShare(
                loop, settings.retryRatio(), settings.retryExtra(), settings.retryWindowMs(), peers::retryBudgetNodes);
        AdapterDemand demand = new AdapterDemand(loop);
        EngineSelector.Inputs inputs =
                new EngineSelector.Inputs(endpointLoads, adapterUsage, demand, residency, outliers, prefillEstimator);
        return new ServingContext(
                loop,
                platform.config(),
                platform.versions(),
                platform.endpoints(),
                endpointLoads,
                adapterUsage,
                residency,
                peerService,
                outliers,
                prefillEstimator,
                demand,
                new EngineSelector(inputs, settings.zone(), peerService::hasOwner),
                new ServiceEndpointSelector(endpointLoads, outliers, settings.zone()),
                new Admission(),
                retries,
                gateway,
                log);
    }

    private PeerService.LocalNode localNode() {
        return new PeerService.LocalNode(
                settings.peers(),
                settings.callers(),
                settings.zone(),
                this::ready,
                () -> leaving,
                platform::records,
                platform::applyFromPeer);
    }

    private boolean ready() {
        return !leaving && platform.complete();
    }

    private void serveCaller(ServerExchange x) {
        CallerRequest request = Ingress.decode(x);
        CallerResponse response = Ingress.response(x);
        if (!callers.accepting()) {
            log.log(EventCode.REQUEST_REFUSED, request == null ? "" : request.id(), "why", "stopping");
            response.sendError(ResultCode.DRAINING, 0);
            return;
        }
        if (request == null) {
            log.log(EventCode.BAD_INPUT, "caller", "target", x.head().uri());
            response.sendError(ResultCode.MALFORMED_REQUEST, -1);
            return;
        }
        RequestFlow flow = new RequestFlow(servingContext, request, response);
        x.onDisconnect(flow::callerDisconnected);
        x.onWritable(flow::callerWritable);
        flow.start();
    }

    private void serveReadiness(ServerExchange x) {
        if (DirectoryProtocol.isReadinessRequest(x)) {
            DirectoryProtocol.respondReadiness(x, ready());
        } else {
            DirectoryProtocol.respondNotFound(x);
        }
    }

    private void serveDirectory(ServerExchange x) {
        if (DirectoryProtocol.requestedZone(x).isEmpty()) {
            DirectoryProtocol.respondNotFound(x);
            return;
        }
        List<String> addresses = new ArrayList<>();
        if (ready()) {
            addresses.add(settings.callers());
        }
        peers.up().stream().filter(p -> p.ready() && !p.leaving()).forEach(p -> addresses.add(p.callerAddress()));
        if (addresses.isEmpty()) {
            DirectoryProtocol.respondUnavailable(x);
        } else {
            DirectoryProtocol.respondAddresses(x, addresses, Math.min(DIRECTORY_TTL_S, settings.maxDirectoryTtlS()));
        }
    }

    private void resetInstance(Endpoint e) {
        outliers.reset(e.id());
        loadTimes.removeEngine(e.id());
        adapterUsage.removeEngine(e.id());
    }

    private void taskFailed(Throwable t) {
        StackTraceElement[] at = t.getStackTrace();
        log.log(EventCode.TASK_FAILED, "loop", "cause", t, "at", at.length == 0 ? "" : at[0]);
    }

    private void reconcile() {
        assignedEngines.reconcile(platform.endpoints().ready());
    }

    /**
     * Creates the controller of an engine; null for an endpoint that serves no models or before a configuration is
     * known.
     */
    private EngineController createController(Endpoint e) {
        ServiceSpec service =
                platform.config().current().map(c -> c.service(e.service())).orElse(null);
        if (service == null || !service.servesModels()) {
            return null;
        }
        int partition = lease.partitionOf(e.id());
        EngineController.TokenSource token = new EngineController.TokenSource() {
            @Override
            public long current() {
                return lease.tokenForOrder(partition);
            }

            @Override
            public void orderSent() {
                lease.recordOrder(partition);
            }

            @Override
            public void rejected(long t) {
                lease.tokenRejected(t);
            }
        };
        return new EngineController(
                new EngineController.Context(loop, gateway, log, adapterUsage, loadTimes), token, service.engine(), e);
    }

    private void requestRecordsFromPeers() {
        if (!ready() && !leaving) {
            peerService.requestRecords();
            loop.schedule(Duration.ofMillis(PEER_RECORDS_INTERVAL_MS), this::requestRecordsFromPeers);
        }
    }

    private ServerLimits callerLimits() {
        IngressLimits l = platform.config().limits();
        return new ServerLimits(l.maxHeaderBytes(), l.maxBodyBytes(), l.headerTimeoutMs(), l.idleTimeoutMs());
    }

    /** Serves the metrics as text on a port of this host's caller address. */
    void listenMetrics(int port) {
        metrics.gauge("callers_unanswered", callers::busyConnections);
        metrics.gauge("operator_records_age_ms", platform::configAgeMs);
        metrics.gauge("endpoint_entries_age_ms", platform::entriesAgeMs);
        metrics.gauge("peers_up", () -> peers.up().size());
        metrics.gauge("duties_held", () -> lease.owned().size());
        metrics.gauge("duty_generation", lease::generation);
        InetSocketAddress own = Addresses.parse(settings.callers());
        new HttpServer(loop, this::callerLimits, this::serveMetrics)
                .listen(new InetSocketAddress(own.getAddress(), port));
    }

    private void serveMetrics(ServerExchange x) {
        x.respond(200, EmptyHttpHeaders.INSTANCE, metrics.text().getBytes(StandardCharsets.UTF_8));
    }

    private void logEvent(EventCode code, String subject, Object... fields) {
        metrics.update(code, fields);
        boolean sampledOut =
                code == EventCode.REQUEST_DONE && Math.floorMod(subject.hashCode(), SUCCESSES_PER_LOG_LINE) != 0;
        if (!sampledOut) {
            lineLog.log(code, subject, fields);
        }
    }
}
