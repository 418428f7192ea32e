package org.quetzalvane.core.node;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;

import org.quetzalvane.core.ResultCode;
import org.quetzalvane.core.cluster.Heartbeats;
import org.quetzalvane.core.cluster.Membership;
import org.quetzalvane.core.cluster.NodeContext;
import org.quetzalvane.core.config.ConfigTable;
import org.quetzalvane.core.event.EventCode;
import org.quetzalvane.core.event.EventLog;
import org.quetzalvane.core.exc.RefusedException;
import org.quetzalvane.core.load.DispatchConfig;
import org.quetzalvane.core.load.DispatchContext;
import org.quetzalvane.core.load.DispatchListener;
import org.quetzalvane.core.load.DispatcherRegistry;
import org.quetzalvane.core.load.EngineDispatcher;
import org.quetzalvane.core.load.EqualShareBudget;
import org.quetzalvane.core.load.GovernedBudget;
import org.quetzalvane.core.load.LoadBudget;
import org.quetzalvane.core.load.LoadGovernor;
import org.quetzalvane.core.log.LogFollower;
import org.quetzalvane.core.model.AdapterVersion;
import org.quetzalvane.core.model.LoadLimits;
import org.quetzalvane.core.model.PublishedVersion;
import org.quetzalvane.core.ownership.Ownership;
import org.quetzalvane.core.ownership.OwnershipTable;
import org.quetzalvane.core.peer.PeerMessage;
import org.quetzalvane.core.peer.PeerRouter;
import org.quetzalvane.core.request.InferenceRequest;
import org.quetzalvane.core.request.PendingRequest;
import org.quetzalvane.core.request.Refusal;
import org.quetzalvane.core.request.ResponseSink;
import org.quetzalvane.core.routing.Access;
import org.quetzalvane.core.routing.EngineRoute;
import org.quetzalvane.core.routing.Placement;
import org.quetzalvane.core.time.Scheduler;

/**
 * One node without its wire forms: follows the log, takes part in ownership, places and dispatches requests.
 *
 * <p>Build it over {@link NodePorts}, {@link #start()} it, and give it requests with {@link #submit}. Invariants:
 * requests are taken only after the configuration known to the log has been applied; a request is dispatched here only
 * while this node owns the engine. Thread-safe; the parts state their locks, taken in the order configuration,
 * dispatchers, load budget, events.
 */
public final class Coordinator {
    public static final String CONFIG_STREAM = "config";

    private static final LoadLimits NO_LIMITS = new LoadLimits("none", 1, 1);
    private static final long RETRY_MILLIS = 500;
    private static final Duration CATCH_UP_LIMIT = Duration.ofSeconds(2);

    private final NodeContext context;
    private final NodeConfig settings;
    private final NodePorts ports;
    private final ConfigTable config = new ConfigTable();
    private final OwnershipTable claims = new OwnershipTable();
    private final Access access = new Access(config);
    private final PeerRouter peerRouter = new PeerRouter();
    private final Membership membership;
    private final Ownership ownership;
    private final DispatcherRegistry dispatchers;
    private final Placement placement;
    private final Forwarding forwarding;
    private final Retries retries;
    private final LapsedHold lapsedHold;
    private final ConfigFeed configFeed;
    private final ConfigPeers configPeers;
    private final LogFollower claimFollower;
    private final Heartbeats heartbeats;
    private final LeavingHosts leavingHosts;
    private final AtomicBoolean drainBegun = new AtomicBoolean();
    private final CompletableFuture<Void> stopped = new CompletableFuture<>();
    private volatile boolean draining;

    /** Builds a node; nothing happens before {@link #start()}. */
    public Coordinator(NodeContext context, NodeConfig settings, NodePorts ports, DispatchListener stats) {
        this.context = context;
        this.settings = settings;
        this.ports = ports;
        Scheduler scheduler = context.scheduler();
        EventLog events = context.events();
        membership = new Membership(events);
        LoadBudget budget = loadBudget(scheduler);
        DispatchContext dispatch = new DispatchContext(
                ports.engines(),
                budget,
                v -> config.read(s -> s.version(v)).map(PublishedVersion::weights),
                scheduler,
                events,
                stats);
        dispatchers = new DispatcherRegistry(dispatch, settings.dispatch(), e -> () -> mayDispatch(e));
        ownership = new Ownership(context, settings.ownership(), ports.log(), claims, membership, config, dispatchers);
        leavingHosts = new LeavingHosts(membership, dispatchers, scheduler, settings.addressTtl());
        placement = new Placement(context.self().dataCentre().region(), config, membership, ownership);
        configFeed = new ConfigFeed(context, ports.log(), settings.pollInterval(), config);
        configPeers =
                new ConfigPeers(context, config, configFeed, membership, ports.peers(), () -> heartbeat(List.of()));
        configPeers.serveOn(peerRouter);
        claimFollower = new LogFollower(
                ports.log(),
                settings.ownership().stream(),
                scheduler,
                settings.pollInterval(),
                events,
                ownership::apply);
        budget.onAvailable(dispatchers::dispatchAllPending);
        LoadGovernor governor = new LoadGovernor(scheduler, this::loadLimits, GovernorLink.role(ownership));
        peerRouter.serve(PeerMessage.LoadPermitRequest.class, governor::requestPermit);
        peerRouter.serve(PeerMessage.LoadPermitRelease.class, (m, reply) -> {
            governor.releasePermit(m);
            reply.end(m);
        });
        forwarding =
                new Forwarding(context, ports.peers(), (request, avoid, sink) -> submit(request, avoid, sink, false)
                        .cancel());
        lapsedHold = new LapsedHold(scheduler, settings.pollInterval());
        retries = new Retries(context, (request, avoid, sink) -> submit(request, avoid, sink, true));
        forwarding.serveOn(peerRouter);
        heartbeats = new Heartbeats(context, membership, ports.peers(), this::heartbeat);
        peerRouter.serve(PeerMessage.Heartbeat.class, (m, reply) -> {
            events.clock().observe(m.time());
            configPeers.seen(m.info(), m.configOffset());
            heartbeats.serve(m, reply);
        });
    }

    // Life cycle

    /** Begins to read the log and to take part in ownership. */
    public void start() {
        String self = context.self().node();
        context.events()
                .record(
                        EventCode.NODE_STARTED,
                        self,
                        "incarnation " + context.self().incarnation());
        configFeed.start();
        configPeers.start();
        new SnapshotWriter(context, ports.log(), config, configFeed, settings.snapshotInterval()).start();
        claimFollower.start(0);
        ownership.start();
        heartbeats.start();
        context.scheduler().repeat(settings.pollInterval(), this::readHostList);
    }

    /**
     * Leaves gracefully: announces it, takes no new work once address answers have expired, serves out what runs and
     * hands the engines over; for one more lifetime of an answer it passes late requests on to the successors.
     *
     * @return completes when nothing runs and the engines are released, or after the drain limit
     */
    public CompletableFuture<Void> drain() {
        if (!drainBegun.compareAndSet(false, true)) {
            return stopped;
        }
        draining = true;
        context.events().record(EventCode.NODE_DRAINING, context.self().node(), "");
        ownership.announceLeaving();
        long retry = settings.addressTtl().toMillis();
        Refusal reason = Refusal.retryable(ResultCode.DRAINING, "the node is leaving", retry);
        Scheduler scheduler = context.scheduler();
        HandOver handOver = new HandOver(dispatchers, ownership, scheduler);
        scheduler.schedule(settings.addressTtl(), () -> handOver.start(reason)
                .thenRun(() -> scheduler.schedule(settings.addressTtl(), () -> stopped.complete(null))));
        scheduler.schedule(settings.drainTimeout(), () -> stopped.complete(null));
        stopped.thenRun(() ->
                context.events().record(EventCode.NODE_STOPPED, context.self().node(), ""));
        return stopped;
    }

    // Public API

    /** Chooses engine and node for an adapter version; fails with {@link RefusedException} when there is none now. */
    public EngineRoute route(AdapterVersion v) {
        return placement.route(v).orElseThrow(() -> new RefusedException(noEngine(v)));
    }

    /**
     * Takes a request of an authenticated and authorised caller; the sink hears its one final answer.
     *
     * <p>A request for an engine of another node is forwarded to it, by one hop; an idempotent request that fails is
     * tried again within a budget.
     *
     * @return cancels the request when the caller goes away
     */
    public Runnable submit(InferenceRequest request, ResponseSink sink) {
        return retries.submit(request, sink);
    }

    private Retries.Started submit(InferenceRequest request, Set<String> avoid, ResponseSink sink, boolean mayForward) {
        EngineRoute route = placement.route(request.version(), avoid).orElse(null);
        if (route == null) {
            sink.refused(noEngine(request.version()));
            return new Retries.Started("", () -> {});
        }
        String engine = route.engine().name();
        EngineDispatcher dispatcher = dispatchers.find(engine).orElse(null);
        if (dispatcher != null && mayForward && !ownership.leaseValid()) {
            return new Retries.Started(engine, holdLapsed(request, avoid, sink, engine));
        }
        if (dispatcher != null) {
            PendingRequest ticket = new PendingRequest(request, sink);
            dispatcher.submit(ticket);
            return new Retries.Started(engine, () -> dispatcher.cancel(ticket));
        }
        if (mayForward && !route.owner().node().equals(context.self().node())) {
            return new Retries.Started(engine, forwarding.forward(request, route.owner(), avoid, sink));
        }
        String message = "the engine is owned by " + route.owner().node();
        sink.refused(Refusal.retryable(ResultCode.NOT_OWNER, message, 0)
                .withRedirectAddress(route.owner().callerAddress()));
        return new Retries.Started(engine, () -> {});
    }

    private Runnable holdLapsed(InferenceRequest request, Set<String> avoid, ResponseSink sink, String engine) {
        return lapsedHold.hold(
                request,
                () -> ownership.leaseValid() || dispatchers.find(engine).isEmpty(),
                () -> takeHeld(request, avoid, sink));
    }

    /** Takes a held request; while the lease is still lapsed, the dispatcher refuses it. */
    private Runnable takeHeld(InferenceRequest request, Set<String> avoid, ResponseSink sink) {
        EngineRoute route = placement.route(request.version(), avoid).orElse(null);
        boolean here = route != null && dispatchers.find(route.engine().name()).isPresent();
        return submit(request, avoid, sink, !here).cancel();
    }

    /** Waits until a configuration offset that a caller has shown is applied; false when it is not in time. */
    public CompletableFuture<Boolean> awaitConfigOffset(long offset) {
        if (offset > config.appliedOffset()) {
            configPeers.pull();
        }
        return configFeed.awaitOffset(offset, CATCH_UP_LIMIT);
    }

    /** Whether the configuration known to the log has been applied and the node is not leaving. */
    public boolean ready() {
        return configFeed.started() && claimFollower.caughtUp() && !draining;
    }

    public boolean draining() {
        return draining;
    }

    /** Configuration records known to the log and not applied yet; -1 before the first read. */
    public long configLag() {
        return configFeed.lag();
    }

    /** Ownership records known to the log and not applied yet; -1 before the first read. */
    public long ownershipLag() {
        return claimFollower.lag();
    }

    /** Whether the last read of a stream failed. */
    public boolean logDown() {
        return configFeed.logDown() || claimFollower.down();
    }

    public NodeContext context() {
        return context;
    }

    public NodeConfig settings() {
        return settings;
    }

    public NodePorts ports() {
        return ports;
    }

    public ConfigTable config() {
        return config;
    }

    public Access access() {
        return access;
    }

    public Membership membership() {
        return membership;
    }

    public Ownership ownership() {
        return ownership;
    }

    public DispatcherRegistry dispatchers() {
        return dispatchers;
    }

    /** Serves the messages of other nodes. */
    public PeerRouter peerRouter() {
        return peerRouter;
    }

    // Helpers

    private static Refusal noEngine(AdapterVersion v) {
        return Refusal.retryable(ResultCode.NO_ENGINE, "no engine can take " + v + " now", RETRY_MILLIS);
    }

    private boolean mayDispatch(String engine) {
        return ownership.mayDispatch(engine);
    }

    private LoadBudget loadBudget(Scheduler scheduler) {
        LoadBudget equalShare = new EqualShareBudget(scheduler, this::loadLimits, () -> membership
                .live(scheduler.nanoTime(), n -> true)
                .size());
        if (settings.dispatch().budget() == DispatchConfig.BudgetMode.EQUAL_SHARES) {
            return equalShare;
        }
        return new GovernedBudget(context.self().node(), scheduler, new GovernorLink(this), equalShare);
    }

    private LoadLimits loadLimits() {
        String region = context.self().dataCentre().region();
        return config.read(s -> s.loadLimits(region)).orElse(NO_LIMITS);
    }

    private PeerMessage.Heartbeat heartbeat(List<PeerMessage.MemberObservation> signs) {
        return new PeerMessage.Heartbeat(
                context.self(),
                draining,
                config.appliedOffset(),
                context.events().clock().next(),
                signs);
    }

    private void readHostList() {
        ports.hosts().list().whenComplete((hosts, failure) -> {
            if (failure == null) {
                membership.updateHostList(hosts);
                leavingHosts.look();
                if (membership.isHostLeaving(context.self().host())) {
                    drain();
                }
            }
        });
    }
}
