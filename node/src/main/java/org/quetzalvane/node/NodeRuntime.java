package org.quetzalvane.node;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import org.quetzalvane.adapters.engine.HttpEnginePort;
import org.quetzalvane.adapters.engine.HttpServicePort;
import org.quetzalvane.adapters.http.HttpCalls;
import org.quetzalvane.adapters.http.HttpService;
import org.quetzalvane.adapters.logging.EventLogger;
import org.quetzalvane.adapters.metrics.MetricStats;
import org.quetzalvane.adapters.peer.TcpPeerPort;
import org.quetzalvane.adapters.platform.HttpHostListPort;
import org.quetzalvane.adapters.platform.HttpLogPort;
import org.quetzalvane.adapters.settings.NodeSettings;
import org.quetzalvane.core.ResultCode;
import org.quetzalvane.core.cluster.Membership;
import org.quetzalvane.core.cluster.NodeContext;
import org.quetzalvane.core.cluster.NodeInfo;
import org.quetzalvane.core.config.ConfigTable;
import org.quetzalvane.core.config.FoldOutcome;
import org.quetzalvane.core.event.EventCode;
import org.quetzalvane.core.event.EventLog;
import org.quetzalvane.core.event.HybridClock;
import org.quetzalvane.core.load.DispatchConfig;
import org.quetzalvane.core.load.DispatchContext;
import org.quetzalvane.core.load.DispatcherRegistry;
import org.quetzalvane.core.load.EqualShareBudget;
import org.quetzalvane.core.load.LoadBudget;
import org.quetzalvane.core.log.LogFollower;
import org.quetzalvane.core.model.LoadLimits;
import org.quetzalvane.core.model.PublishedVersion;
import org.quetzalvane.core.ownership.ClaimTable;
import org.quetzalvane.core.ownership.Ownership;
import org.quetzalvane.core.ownership.OwnershipConfig;
import org.quetzalvane.core.port.HostListPort;
import org.quetzalvane.core.port.LogPort;
import org.quetzalvane.core.request.IdempotencyTable;
import org.quetzalvane.core.request.Refusal;
import org.quetzalvane.core.routing.Access;
import org.quetzalvane.core.routing.Placement;
import org.quetzalvane.core.time.SystemScheduler;

/**
 * One running node: wires core and adapters together and owns their life cycle.
 *
 * <p>Invariant: callers are served only after the configuration known to the log has been applied. Thread-safe.
 */
public final class NodeRuntime {
    static final String CONFIG_STREAM = "config";

    private static final int TIMER_THREADS = 4;
    private static final int EVENT_RING = 20_000;
    private static final int IDEMPOTENCY_KEYS = 100_000;
    private static final Duration DRAIN_LIMIT = Duration.ofMinutes(5);
    private static final LoadLimits NO_LIMITS = new LoadLimits("none", 1, 1);

    private final NodeSettings settings;
    private final SystemScheduler scheduler = new SystemScheduler(TIMER_THREADS);
    private final MetricRegistry metrics = new MetricRegistry();
    private final ConfigTable config = new ConfigTable();
    private final ClaimTable claims = new ClaimTable();
    private final NodeContext context;
    private final EventLog events;
    private final Membership membership;
    private final HttpCalls calls = HttpCalls.start();
    private final HttpCalls unpooled = HttpCalls.start();
    private final HostListPort hostList;
    private final Ownership ownership;
    private final DispatcherRegistry dispatchers;
    private final Placement placement;
    private final LogFollower configFollower;
    private final LogFollower claimFollower;
    private final CompletableFuture<Void> stopped = new CompletableFuture<>();
    private TcpPeerPort peers;
    private HttpService callerServer;
    private HttpService operatorServer;
    private volatile boolean draining;

    private NodeRuntime(NodeSettings settings) {
        this.settings = settings;
        NodeSettings.Listen listen = settings.listen();
        NodeInfo self = new NodeInfo(
                settings.node().name(),
                scheduler.wallMillis(),
                settings.node().host(),
                settings.node().place(),
                listen.callers(),
                listen.peers());
        events = new EventLog(self.node(), new HybridClock(scheduler), EVENT_RING, new EventLogger());
        context = new NodeContext(self, scheduler, events);
        membership = new Membership(events);
        LogPort log = new HttpLogPort(calls, settings.platform().log());
        hostList = new HttpHostListPort(calls, settings.platform().hosts());
        dispatchers = new DispatcherRegistry(dispatchContext(), DispatchConfig.defaults(), e -> () -> permitted(e));
        Duration lease = Duration.ofMillis(settings.timing().leaseMillis());
        OwnershipConfig timing = OwnershipConfig.of(self.dataCentre().region()).withLease(lease);
        ownership = new Ownership(context, timing, log, claims, membership, config, dispatchers);
        placement = new Placement(self.dataCentre().region(), config, membership, ownership);
        Duration poll = Duration.ofMillis(settings.timing().pollMillis());
        configFollower = new LogFollower(log, CONFIG_STREAM, scheduler, poll, events, this::applyConfig);
        claimFollower = new LogFollower(log, timing.stream(), scheduler, poll, events, ownership::apply);
    }

    // Life cycle

    /** Starts a node: listens, reads the log and takes part in ownership. */
    public static NodeRuntime start(NodeSettings settings) throws Exception {
        NodeRuntime runtime = new NodeRuntime(settings);
        runtime.open();
        return runtime;
    }

    private void open() throws Exception {
        NodeInfo self = context.self();
        events.record(EventCode.NODE_STARTED, self.node(), "incarnation " + self.incarnation());
        peers = TcpPeerPort.builder(
                        settings.cluster().name(), settings.cluster().secret(), scheduler)
                .handler(new PeerService(this))
                .listen(self.peerAddress());
        IdempotencyTable keys = new IdempotencyTable(self.node(), self.incarnation(), IDEMPOTENCY_KEYS);
        CallerApi callers = new CallerApi(this, new Access(config), keys, new HttpServicePort(calls, unpooled));
        callerServer = callers.routes(HttpService.builder()).start(self.callerAddress());
        operatorServer = new OperatorApi(this)
                .routes(HttpService.builder())
                .start(settings.listen().operators());
        configFollower.start(0);
        claimFollower.start(0);
        ownership.start();
        Duration poll = Duration.ofMillis(settings.timing().pollMillis());
        scheduler.repeat(poll, this::readHostList);
    }

    /** Serves out what runs, hands the engines over and stops; returns when the node has stopped. */
    public void stopGracefully() {
        draining = true;
        events.record(EventCode.NODE_DRAINING, context.self().node(), "");
        ownership.leave();
        Refusal reason = Refusal.retry(
                ResultCode.DRAINING, "the node is leaving", settings.timing().answerMillis());
        CompletableFuture<Void> drained = new CompletableFuture<>();
        Duration answers = Duration.ofMillis(settings.timing().answerMillis());
        scheduler.schedule(answers, () -> dispatchers.drain(reason).thenRun(() -> drained.complete(null)));
        try {
            drained.get(DRAIN_LIMIT.toMillis(), TimeUnit.MILLISECONDS);
            ownership.release(ownership.held()).get(1, TimeUnit.SECONDS);
        } catch (Exception e) {
            events.record(EventCode.TASK_FAILED, context.self().node(), "drain: " + e);
        }
        events.record(EventCode.NODE_STOPPED, context.self().node(), "");
        close();
        stopped.complete(null);
    }

    /** Completes when the node has stopped. */
    public CompletableFuture<Void> stopped() {
        return stopped;
    }

    private void close() {
        try {
            callerServer.close();
            operatorServer.close();
            peers.close();
            calls.close();
            unpooled.close();
        } catch (Exception e) {
            events.record(EventCode.TASK_FAILED, context.self().node(), "close: " + e);
        }
        scheduler.close();
    }

    // What the interfaces use

    NodeContext context() {
        return context;
    }

    NodeSettings settings() {
        return settings;
    }

    ConfigTable config() {
        return config;
    }

    Membership membership() {
        return membership;
    }

    Ownership ownership() {
        return ownership;
    }

    DispatcherRegistry dispatchers() {
        return dispatchers;
    }

    Placement placement() {
        return placement;
    }

    MetricRegistry metrics() {
        return metrics;
    }

    boolean draining() {
        return draining;
    }

    /** Whether the configuration known to the log has been applied. */
    boolean ready() {
        return configFollower.caughtUp() && claimFollower.caughtUp() && !draining;
    }

    // Helpers

    private boolean permitted(String engine) {
        return ownership.mayDispatch(engine);
    }

    private DispatchContext dispatchContext() {
        String region = context.self().dataCentre().region();
        LoadBudget budget = new EqualShareBudget(
                scheduler,
                () -> config.read(s -> s.loadLimits(region)).orElse(NO_LIMITS),
                () -> membership.candidates(scheduler.nanoTime(), n -> true).size());
        return new DispatchContext(
                new HttpEnginePort(calls),
                budget,
                v -> config.read(s -> s.version(v)).map(PublishedVersion::weights),
                scheduler,
                events,
                new MetricStats(metrics));
    }

    private void applyConfig(long offset, byte[] data) {
        config.apply(offset, data).ifPresent(this::recordOutcome);
    }

    private void recordOutcome(FoldOutcome o) {
        String subject = o.key() == null ? "offset " + o.offset() : o.key().toString();
        EventCode code = o.accepted() ? EventCode.CONFIG_APPLIED : EventCode.CONFIG_REFUSED;
        events.record(code, subject, "offset " + o.offset() + " " + o.code() + " " + o.message());
    }

    private void readHostList() {
        hostList.list().whenComplete((hosts, failure) -> {
            if (failure == null) {
                membership.hostList(hosts);
            }
        });
    }
}
