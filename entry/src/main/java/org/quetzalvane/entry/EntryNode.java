package org.quetzalvane.entry;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;

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
import org.quetzalvane.core.limit.EndpointPermits;
import org.quetzalvane.core.limit.MemoryAccount;
import org.quetzalvane.core.limit.RetryAfter;
import org.quetzalvane.core.residency.AdapterUsage;
import org.quetzalvane.core.residency.EngineController;
import org.quetzalvane.core.residency.LoadTimeEstimator;
import org.quetzalvane.core.residency.ResidencyTable;
import org.quetzalvane.core.routes.IngressLimits;
import org.quetzalvane.core.routes.ServiceSpec;
import org.quetzalvane.core.serve.CallerRequest;
import org.quetzalvane.core.serve.CallerResponse;
import org.quetzalvane.core.serve.GracePeriod;
import org.quetzalvane.core.serve.RequestFlow;
import org.quetzalvane.core.serve.ServingContext;
import org.quetzalvane.core.team.AssignedEngines;
import org.quetzalvane.core.team.AssignmentLease;
import org.quetzalvane.core.team.PeerTable;
import org.quetzalvane.core.team.RecordRelay;
import org.quetzalvane.core.team.StatusExchange;
import org.quetzalvane.core.team.StreamOriginArchive;
import org.quetzalvane.platform.BootSettings;
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
 * One node of the entry host daemon: owns its state, servers and connections.
 *
 * <p>All state is confined to the event loop. {@link #start}, {@link #stop}, {@link #close}, {@link
 * #listenMetrics} and {@link #awaitNotAccepting} may be called from other threads.
 */
final class EntryNode {
    /**
     * Timeout of connecting to an endpoint or to the store, ms: less than half of the one second that callers allow, so
     * that two endpoints can be tried.
     */
    private static final int CONNECT_TIMEOUT_MS = 400;
    /**
     * Timeout of a write to the store and of a call of its group, ms. The published response time is 4 ms; a slow store
     * takes 60 times as long.
     */
    static final long STORE_TIMEOUT_MS = 1_000;
    /**
     * Timeout of a read of the store, ms, in addition to the wait that it requests. It is longer, since another read is
     * sent once one is overdue, and a store that takes longer to respond than the timeout could not be followed.
     */
    static final long STORE_READ_TIMEOUT_MS = 2_000;
    /**
     * Time without a join after which the group assigns a node's partitions to others, ms: a process that was killed is
     * usually back earlier and resumes its partitions.
     */
    private static final long ASSIGNMENT_TTL_MS = 3_000;
    /** Timeout of an order to an engine and of a read of its report, ms; the network delay is 1 ms. */
    private static final long ENGINE_CALL_TIMEOUT_MS = 150;
    /** Longest idle time, ms, of a pooled connection that may carry a request that cannot be retried. */
    private static final long NON_RETRYABLE_MAX_IDLE_MS = 1_500;
    /** Retry time of requests whose body cannot be held, ms; slow endpoints take seconds for a body. */
    private static final long MEMORY_RETRY_AFTER_MS = 1_000;
    /** Partition whose owner records the software versions that serve. */
    private static final int SERVED_VERSIONS_PARTITION = 0;
    /** One in this many {@code REQUEST_DONE} events is logged, chosen by the hash of the request id. */
    private static final int REQUEST_DONE_EVENTS_PER_LOG_LINE = 16;

    private final BootSettings settings;
    private final NettyEventLoop loop = new NettyEventLoop();
    private final JsonLineLog lineLog;
    private final StructuredLog log;
    private final EntryMetrics metrics = new EntryMetrics();
    private final MemoryAccount memory =
            MemoryAccount.ofHeap(Runtime.getRuntime().maxMemory());

    private final ListenerConnections connections;
    private final PlatformState platform;
    private final EndpointLoads endpointLoads = new EndpointLoads();
    private final AdapterUsage adapterUsage = new AdapterUsage(loop);
    private final ResidencyTable residency = new ResidencyTable(loop);
    private final OutlierDetector outliers = new OutlierDetector(loop);
    private final PrefillEstimator prefillEstimator = new PrefillEstimator();
    private final LoadTimeEstimator loadTimes;

    private final PeerTable peerTable;
    private final AssignmentLease lease;
    private final AssignedEngines assignedEngines;
    private final PeerService peerService;
    private final PeerTransport transport;
    private final StreamOriginArchive originArchive;
    private final AssignmentMember assignmentMember;
    private final EndpointGateway gateway;
    private final ServingContext servingContext;
    private final HttpServer callerServer;
    private final HttpServer readinessServer;
    private final HttpServer directoryServer;
    private final GracePeriod gracePeriod = new GracePeriod(loop);
    private final PlannedStop plannedStop;
    private boolean leaving;

    EntryNode(BootSettings settings) {
        this.settings = settings;
        connections = ListenerConnections.of(settings);
        lineLog = new JsonLineLog(settings.nodeName(), loop::wallMillis, System.out);
        log = this::logEvent;
        loop.onFailure(this::logTaskFailure);
        HttpClient http = new HttpClient(loop, CONNECT_TIMEOUT_MS);
        http.onForeignResponse((from, what) -> log.log(EventCode.FOREIGN_RESPONSE, from.toString(), "what", what));
        StoreClient store = new StoreClient(
                http,
                loop,
                settings.storeAddress(),
                new StoreClient.Timeouts(STORE_TIMEOUT_MS, STORE_READ_TIMEOUT_MS),
                new StoreEraLog(log, this::storeRestored));
        platform = new PlatformState(loop, store, log, this::reconcile, this::recordsServedVersions, settings);
        EndpointNoticeHandler notices = new EndpointNoticeHandler(
                platform.endpoints(),
                log,
                loop::wallMillis,
                this::announceLeaving,
                this::reconcile,
                this::observeLimit);
        gateway = new EndpointGateway(
                http, loop, settings.peerAddress(), ENGINE_CALL_TIMEOUT_MS, NON_RETRYABLE_MAX_IDLE_MS, notices);
        peerTable = new PeerTable(loop, settings.peerAddress(), settings.seeds());
        loadTimes = new LoadTimeEstimator(loop, peerTable::loadsInFlight, platform::readyEnginesWithBaseModel);
        lease = new AssignmentLease(
                loop, settings.fencingEnforced(), settings.leaseDurationMs(), settings.enginePartitions(), peerTable);
        assignedEngines = new AssignedEngines(lease, this::createController);
        RecordRelay relay = new RecordRelay(loop, platform::appliedOffset);
        peerService = new PeerService(
                loop,
                new StatusExchange.Components(
                        peerTable, endpointLoads, adapterUsage, residency, lease, assignedEngines, loadTimes, log),
                localNode(),
                new PeerService.RecordAccess(
                        platform::records, platform.followers(), platform.endpoints()::leavingMarks),
                relay,
                m -> notices.markDraining(m.endpoint(), m.bornMs(), m.from()),
                settings.quota());
        transport =
                new PeerTransport(loop, settings.peerAddress(), peerService::receive, peerService::connectionChanged);
        peerService.setTransport(transport);
        originArchive = new StreamOriginArchive(
                loop,
                store.streamOrigins(),
                peerService.streamOrigins(),
                () -> recordsServedVersions() && platform.servedVersions().maySeveralServe(),
                log);
        peerService.streamOrigins().setArchive(originArchive);
        platform.exchange(relay, peerService::relayRecords);
        assignmentMember = new AssignmentMember(
                loop,
                store.assignmentGroup(),
                lease,
                peerTable,
                log,
                new AssignmentMember.Membership(settings.peerAddress(), ASSIGNMENT_TTL_MS),
                new AssignmentMember.Listeners(this::assignmentChanged, peerService::resumeHub));
        servingContext = createServingContext();
        callerServer = new HttpServer(loop, this::callerLimits, memory, connections.callers(), this::serveCaller);
        plannedStop = new PlannedStop(loop, callerServer, gracePeriod, settings.gracePeriodMs());
        CallerDirectory directory = new CallerDirectory(peerTable, peerService::self, settings.maxDirectoryTtlS());
        readinessServer =
                new HttpServer(loop, this::callerLimits, memory, connections.readiness(), directory::serveReadiness);
        directoryServer =
                new HttpServer(loop, this::callerLimits, memory, connections.directory(), directory::serveAddresses);
        platform.endpoints().onNewInstance(this::dropPreviousInstanceState);
    }

    void start() {
        lineLog.start();
        loop.onSlowPass(this::logSlowPass);
        callerServer.onDeparted(x -> log.log(EventCode.REQUEST_DROPPED, Ingress.requestId(x)));
        log.log(EventCode.NODE_STARTED, settings.nodeName(), "peers", settings.peerAddress());
        transport.listen(Addresses.parse(settings.peerAddress()));
        callerServer.listen(Addresses.parse(settings.callerAddress()));
        readinessServer.listen(Addresses.parse(settings.readinessAddress()));
        directoryServer.listen(Addresses.parse(settings.directoryAddress()));
        loop.execute(() -> {
            platform.start();
            assignmentMember.start();
            peerService.start();
            originArchive.start();
        });
    }

    /**
     * Drains the node: accepts no new callers, lets the requests in progress complete, ends those that do not, and
     * returns shortly before the grace period ends.
     */
    void stop() throws InterruptedException {
        loop.execute(() -> {
            leaving = true;
            log.log(EventCode.NODE_DRAINING, settings.nodeName(), "unanswered", callerServer.busyConnections());
            plannedStop.begin();
            assignmentMember.leave();
            peerService.sendStatus();
        });
        plannedStop.awaitIdleOrEnd();
        log.log(EventCode.NODE_STOPPED, settings.nodeName());
        try {
            lineLog.flush();
        } catch (java.io.IOException e) {
            System.err.println("log lines not written at the end of the process: " + e);
        }
    }

    /** Stops the event loop at once; requests in progress are dropped. */
    void close() {
        loop.close();
    }

    /** Waits until a draining node has closed its listening socket for callers. */
    void awaitNotAccepting() throws InterruptedException {
        plannedStop.awaitNotAccepting();
    }

    private ServingContext createServingContext() {
        RetryBudgetShare retries = new RetryBudgetShare(
                loop,
                settings.retryRatio(),
                settings.retryExtra(),
                settings.retryWindowMs(),
                peerTable::retryBudgetNodes);
        AdapterDemand demand = new AdapterDemand(loop);
        EndpointPermits permits = peerService.permits();
        EngineSelector.Inputs inputs = new EngineSelector.Inputs(
                endpointLoads, adapterUsage, demand, residency, outliers, prefillEstimator, permits);
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
                new ServiceEndpointSelector(endpointLoads, outliers, permits, settings.zone()),
                permits,
                new CountedAllowances(peerService.allowances(), metrics),
                this::keysVerifiable,
                new Admission(),
                retries,
                peerService.streamOrigins(),
                platform.servedVersions(),
                peerService.quarantine(),
                gracePeriod,
                memory,
                gateway,
                log);
    }

    private boolean recordsServedVersions() {
        return lease.owns(SERVED_VERSIONS_PARTITION);
    }

    private void storeRestored() {
        platform.servedVersions().storeRestored();
        originArchive.storeRestored();
    }

    private boolean keysVerifiable() {
        BootSettings.Revocation r = settings.revocation();
        return !r.strict() || platform.configAgeMs() <= r.afterMs();
    }

    private StatusExchange.LocalNode localNode() {
        return new StatusExchange.LocalNode(
                settings.peerAddress(),
                settings.callerAddress(),
                settings.zone(),
                settings.capacity(),
                this::ready,
                () -> leaving,
                platform::positions,
                this::setOwnerRole);
    }

    private void setOwnerRole(boolean mayOwn) {
        assignmentMember.setActive(mayOwn);
    }

    private boolean ready() {
        return !leaving && platform.complete();
    }

    private void serveCaller(ServerExchange exchange) {
        CallerRequest request = Ingress.decode(exchange);
        CallerResponse response = Ingress.response(exchange);
        if (!callerServer.accepting()) {
            log.log(EventCode.REQUEST_REFUSED, request == null ? "" : request.id(), "why", "stopping");
            response.sendError(ResultCode.DRAINING, 0);
            return;
        }
        if (request == null) {
            log.log(EventCode.BAD_INPUT, "caller", "target", exchange.head().uri());
            response.sendError(ResultCode.MALFORMED_REQUEST, -1);
            return;
        }
        RequestFlow flow = new RequestFlow(servingContext, request, response);
        if (exchange.bodyRefused()) {
            long retryAfterMs = RetryAfter.spread(MEMORY_RETRY_AFTER_MS, request.id());
            flow.end(ResultCode.NODE_MEMORY_FULL, ResultCode.INTERNAL, retryAfterMs, "body");
            return;
        }
        exchange.onDisconnect(flow::callerDisconnected);
        exchange.onWritable(flow::callerWritable);
        flow.start();
    }

    /** Drops the outlier state, load times and adapter usage of the previous instance of an endpoint. */
    private void dropPreviousInstanceState(Endpoint e) {
        outliers.reset(e.id());
        loadTimes.removeEngine(e.id());
        adapterUsage.removeEngine(e.id());
    }

    private void logTaskFailure(Throwable t) {
        StackTraceElement[] at = t.getStackTrace();
        log.log(EventCode.TASK_FAILED, "loop", "cause", t, "at", at.length == 0 ? "" : at[0]);
    }

    private void logSlowPass(long lateMs, long ioMs, long tasksMs) {
        log.log(EventCode.SLOW_PASS, "loop", "late_ms", lateMs, "io_ms", ioMs, "tasks_ms", tasksMs);
    }

    private void observeLimit(Endpoint e, double perSecond, long sentNanos) {
        peerService.permits().observe(e, perSecond, sentNanos);
    }

    private void announceLeaving(Endpoint e) {
        peerService.announceLeaving(e);
    }

    private void assignmentChanged() {
        reconcile();
        peerService.announceEngines();
    }

    private void reconcile() {
        platform.config().current().ifPresent(peerService::configureAllowances);
        peerService.permits().removeGone(id -> platform.endpoints().find(id) != null);
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
        LeasedTokens tokens = new LeasedTokens(lease, platform.endpoints(), e);
        return new EngineController(
                new EngineController.Context(loop, gateway, log, adapterUsage, loadTimes), tokens, service.engine(), e);
    }

    private ServerLimits callerLimits() {
        IngressLimits l = platform.config().limits();
        return new ServerLimits(l.maxHeaderBytes(), l.maxBodyBytes(), l.headerTimeoutMs(), l.idleTimeoutMs());
    }

    /** Serves the metrics as text on a port of the IP address for callers; waits until the port is bound. */
    void listenMetrics(int port) {
        NodeGauges.registerMemory(metrics, callerServer, memory);
        NodeGauges.registerConnections(metrics, connections);
        NodeGauges.register(metrics, callerServer, platform, peerTable, peerService, lease, loadTimes);
        InetSocketAddress own = Addresses.parse(settings.callerAddress());
        new HttpServer(loop, this::callerLimits, memory, this::serveMetrics)
                .listen(new InetSocketAddress(own.getAddress(), port));
    }

    private void serveMetrics(ServerExchange exchange) {
        exchange.respond(200, EmptyHttpHeaders.INSTANCE, metrics.text().getBytes(StandardCharsets.UTF_8));
    }

    private void logEvent(EventCode code, String subject, Object... fields) {
        metrics.update(code, fields);
        boolean sampledOut = code == EventCode.REQUEST_DONE
                && Math.floorMod(subject.hashCode(), REQUEST_DONE_EVENTS_PER_LOG_LINE) != 0;
        if (!sampledOut) {
            lineLog.log(code, subject, fields);
        }
    }
}
