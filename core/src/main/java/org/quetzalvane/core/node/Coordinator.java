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
import org.quetzalvane.core.routing.AccessChecker;
import org.quetzalvane.core.routing.EngineRoute;
import org.quetzalvane.core.routing.Placement;
import org.quetzalvane.core.time.Scheduler;

/**
 * A serving node without its transports: applies the configuration log, claims engines, and routes, forwards and
 * dispatches requests.
 *
 * <p>Create it over {@link NodePorts}, {@link #start()} it, and pass requests to {@link #submit}. Invariants: requests
 * are taken only after the configuration records on the log have been applied; a request is dispatched here only while
 * this node owns the engine. Thread-safe; locks are taken in the order configuration, dispatchers, load budget, events.
 */
public final class Coordinator {
    public static final String CONFIG_STREAM = "config";

    /** Load limits of a region without a limits object in the configuration. */
    private static final LoadLimits DEFAULT_LOAD_LIMITS = new LoadLimits("none", 1, 1);

    private static final long RETRY_AFTER_MILLIS = 500;
    private static final Duration CATCH_UP_TIMEOUT = Duration.ofSeconds(2);

    private final NodeContext context;
    private final NodeConfig settings;
    private final NodePorts ports;
    private final ConfigTable config = new ConfigTable();
    private final OwnershipTable ownershipTable = new OwnershipTable();
    private final AccessChecker access = new AccessChecker(config);
    private final PeerRouter peerRouter = new PeerRouter();
    private final Membership membership;
    private final Ownership ownership;
    private final DispatcherRegistry dispatchers;
    private final Placement placement;
    private final RequestForwarder forwarder;
    private final RequestRetrier retrier;
    private final HeldRequests heldRequests;
    private final ConfigFeed configFeed;
    private final ConfigGossip configGossip;
    private final LogFollower ownershipFollower;
    private final Heartbeats heartbeats;
    private final LeavingHostDrainer leavingHostDrainer;
    private final AtomicBoolean drainStarted = new AtomicBoolean();
    private final CompletableFuture<Void> drained = new CompletableFuture<>();
    private volatile boolean draining;

    /** Creates a node; {@link #start()} starts it. */
    public Coordinator(NodeContext context, NodeConfig settings, NodePorts ports, DispatchListener listener) {
        this.context = context;
        this.settings = settings;
        this.ports = ports;
        Scheduler scheduler = context.scheduler();
        EventLog events = context.events();
        membership = new Membership(events);
        LoadBudget budget = loadBudget(scheduler);
        DispatchContext dispatchContext = new DispatchContext(
                ports.engines(),
                budget,
                v -> config.read(s -> s.version(v)).map(PublishedVersion::weights),
                scheduler,
                events,
                listener);
        dispatchers = new DispatcherRegistry(dispatchContext, settings.dispatch(), e -> () -> mayDispatch(e));
        ownership = new Ownership(
                context, settings.ownership(), ports.log(), ownershipTable, membership, config, dispatchers);
        leavingHostDrainer = new LeavingHostDrainer(membership, dispatchers, scheduler, settings.addressTtl());
        placement = new Placement(context.self().dataCentre().region(), config, membership, ownership);
        configFeed = new ConfigFeed(context, ports.log(), settings.pollInterval(), config);
        configGossip =
                new ConfigGossip(context, config, configFeed, membership, ports.peers(), () -> heartbeat(List.of()));
        configGossip.registerHandlers(peerRouter);
        ownershipFollower = new LogFollower(
                ports.log(),
                settings.ownership().stream(),
                scheduler,
                settings.pollInterval(),
                events,
                ownership::apply);
        budget.onAvailable(dispatchers::dispatchAllPending);
        LoadGovernor governor = new LoadGovernor(scheduler, this::loadLimits, GovernorPeerClient.role(ownership));
        peerRouter.register(PeerMessage.LoadPermitRequest.class, governor::requestPermit);
        peerRouter.register(PeerMessage.LoadPermitRelease.class, (m, reply) -> {
            governor.releasePermit(m);
            reply.end(m);
        });
        forwarder = new RequestForwarder(
                context, ports.peers(), (request, avoid, sink) -> submitOnce(request, avoid, sink, false)
                        .cancel());
        heldRequests = new HeldRequests(scheduler, settings.pollInterval());
        retrier = new RequestRetrier(context, (request, avoid, sink) -> submitOnce(request, avoid, sink, true));
        forwarder.registerHandlers(peerRouter);
        heartbeats = new Heartbeats(context, membership, ports.peers(), this::heartbeat);
        peerRouter.register(PeerMessage.Heartbeat.class, (m, reply) -> {
            events.clock().observe(m.time());
            configGossip.recordPeerOffset(m.info(), m.configOffset());
            heartbeats.handle(m, reply);
        });
    }

    // Life cycle

    /** Starts to read the log and to take part in engine ownership. */
    public void start() {
        String self = context.self().node();
        context.events()
                .record(
                        EventCode.NODE_STARTED,
                        self,
                        "incarnation " + context.self().incarnation());
        configFeed.start();
        configGossip.start();
        new SnapshotWriter(context, ports.log(), config, configFeed, settings.snapshotInterval()).start();
        ownershipFollower.start(0);
        ownership.start();
        heartbeats.start();
        context.scheduler().repeat(settings.pollInterval(), this::readHostList);
    }

    /**
     * Drains the node: announces that it is leaving; after the TTL of address responses refuses new and queued
     * requests, finishes running ones and releases the engines; then, for one more TTL, forwards requests of callers
     * that still use its address to the new owners.
     *
     * @return completes after the second TTL, or after the drain timeout
     */
    public CompletableFuture<Void> drain() {
        if (!drainStarted.compareAndSet(false, true)) {
            return drained;
        }
        draining = true;
        context.events().record(EventCode.NODE_DRAINING, context.self().node(), "");
        ownership.announceLeaving();
        long retryAfterMillis = settings.addressTtl().toMillis();
        Refusal reason = Refusal.retryable(ResultCode.DRAINING, "the node is leaving", retryAfterMillis);
        Scheduler scheduler = context.scheduler();
        EngineHandoff handoff = new EngineHandoff(dispatchers, ownership, scheduler);
        scheduler.schedule(settings.addressTtl(), () -> handoff.start(reason)
                .thenRun(() -> scheduler.schedule(settings.addressTtl(), () -> drained.complete(null))));
        scheduler.schedule(settings.drainTimeout(), () -> drained.complete(null));
        drained.thenRun(() ->
                context.events().record(EventCode.NODE_STOPPED, context.self().node(), ""));
        return drained;
    }

    // Public API

    /**
     * Selects an engine and its owner for an adapter version; fails with {@link RefusedException} if there is none now.
     */
    public EngineRoute route(AdapterVersion v) {
        return placement.route(v).orElseThrow(() -> new RefusedException(noEngine(v)));
    }

    /**
     * Submits a request of an authenticated and authorized caller; the sink receives exactly one final response.
     *
     * <p>A request for an engine that another node owns is forwarded to that node, once. An idempotent request that
     * fails is retried within a retry budget.
     *
     * @return cancels the request; to be run when the caller disconnects
     */
    public Runnable submit(InferenceRequest request, ResponseSink sink) {
        return retrier.submit(request, sink);
    }

    /**
     * Submits a request once, without retries.
     *
     * @param mayForwardOrHold whether the request may be forwarded to another node, or held while the lease is expired
     */
    private RequestRetrier.SubmissionHandle submitOnce(
            InferenceRequest request, Set<String> avoid, ResponseSink sink, boolean mayForwardOrHold) {
        EngineRoute route = placement.route(request.version(), avoid).orElse(null);
        if (route == null) {
            sink.refused(noEngine(request.version()));
            return new RequestRetrier.SubmissionHandle("", () -> {});
        }
        String engine = route.engine().name();
        EngineDispatcher dispatcher = dispatchers.find(engine).orElse(null);
        if (dispatcher != null && mayForwardOrHold && !ownership.leaseValid()) {
            return new RequestRetrier.SubmissionHandle(engine, hold(request, avoid, sink, engine));
        }
        if (dispatcher != null) {
            PendingRequest pending = new PendingRequest(request, sink);
            dispatcher.submit(pending);
            return new RequestRetrier.SubmissionHandle(engine, () -> dispatcher.cancel(pending));
        }
        if (mayForwardOrHold && !route.owner().node().equals(context.self().node())) {
            return new RequestRetrier.SubmissionHandle(engine, forwarder.forward(request, route.owner(), avoid, sink));
        }
        String message = "the engine is owned by node " + route.owner().node();
        sink.refused(Refusal.retryable(ResultCode.NOT_OWNER, message, 0)
                .withRedirectAddress(route.owner().callerAddress()));
        return new RequestRetrier.SubmissionHandle(engine, () -> {});
    }

    private Runnable hold(InferenceRequest request, Set<String> avoid, ResponseSink sink, String engine) {
        return heldRequests.hold(
                request,
                () -> ownership.leaseValid() || dispatchers.find(engine).isEmpty(),
                () -> submitHeld(request, avoid, sink));
    }

    /** Submits a held request; while this node's lease is still expired, the dispatcher refuses it. */
    private Runnable submitHeld(InferenceRequest request, Set<String> avoid, ResponseSink sink) {
        EngineRoute route = placement.route(request.version(), avoid).orElse(null);
        boolean ownedHere =
                route != null && dispatchers.find(route.engine().name()).isPresent();
        return submitOnce(request, avoid, sink, !ownedHere).cancel();
    }

    /** Completes with true once a configuration offset given by a caller is applied, or with false after a timeout. */
    public CompletableFuture<Boolean> awaitConfigOffset(long offset) {
        if (offset > config.appliedOffset()) {
            configGossip.pull();
        }
        return configFeed.awaitOffset(offset, CATCH_UP_TIMEOUT);
    }

    /** Returns whether the records known to the log have been applied and the node is not draining. */
    public boolean ready() {
        return configFeed.initialSyncDone() && ownershipFollower.caughtUp() && !draining;
    }

    public boolean draining() {
        return draining;
    }

    /** Returns the number of configuration records on the log that are not applied yet, or -1 before the first read. */
    public long configLag() {
        return configFeed.lag();
    }

    /** Returns the number of ownership records on the log that are not applied yet, or -1 before the first read. */
    public long ownershipLag() {
        return ownershipFollower.lag();
    }

    /** Returns whether the last read of the configuration or the ownership stream failed. */
    public boolean logDown() {
        return configFeed.isLogDown() || ownershipFollower.isLogDown();
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

    public AccessChecker access() {
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

    /** Returns the router that handles the messages of other nodes. */
    public PeerRouter peerRouter() {
        return peerRouter;
    }

    // Helpers

    private static Refusal noEngine(AdapterVersion v) {
        return Refusal.retryable(ResultCode.NO_ENGINE, "no engine can serve " + v + " now", RETRY_AFTER_MILLIS);
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
        return new GovernedBudget(context.self().node(), scheduler, new GovernorPeerClient(this), equalShare);
    }

    private LoadLimits loadLimits() {
        String region = context.self().dataCentre().region();
        return config.read(s -> s.loadLimits(region)).orElse(DEFAULT_LOAD_LIMITS);
    }

    private PeerMessage.Heartbeat heartbeat(List<PeerMessage.MemberObservation> observations) {
        return new PeerMessage.Heartbeat(
                context.self(),
                draining,
                config.appliedOffset(),
                context.events().clock().next(),
                observations);
    }

    private void readHostList() {
        ports.hosts().list().whenComplete((hosts, failure) -> {
            if (failure == null) {
                membership.updateHostList(hosts);
                leavingHostDrainer.checkEngines();
                if (membership.isHostLeaving(context.self().host())) {
                    drain();
                }
            }
        });
    }
}
