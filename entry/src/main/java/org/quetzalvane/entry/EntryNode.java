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
import org.quetzalvane.platform.DirectoryWire;
import org.quetzalvane.platform.EndpointGateway;
import org.quetzalvane.platform.Ingress;
import org.quetzalvane.platform.StoreClient;
import org.quetzalvane.transport.Addresses;
import org.quetzalvane.transport.HttpClient;
import org.quetzalvane.transport.HttpServer;
import org.quetzalvane.transport.Loop;
import org.quetzalvane.transport.PeerNet;
import org.quetzalvane.transport.ServerExchange;
import org.quetzalvane.transport.ServerLimits;

/**
 * One entry host: all state of the process and its connections.
 *
 * <p>Everything runs on the event loop; {@link #start} and {@link #stop} may be called from outside it.
 */
final class EntryNode {
    /** Time for a connection to be made, ms: callers allow one second, and two endpoints should fit. */
    private static final int CONNECT_TIMEOUT_MS = 400;
    /** Time for an answer of the store, ms, against the published 4 ms; a slow store takes 60 times as long. */
    private static final long STORE_TIMEOUT_MS = 1_000;
    /** How long a read of the operator's records waits, ms: a silent connection hides a change as long, within the 5 s
     * of the stability window and the bound of configuration. */
    private static final long CONFIG_WAIT_MS = 3_000;
    /** Silence after which the group deals a node's duties to others, ms: twice what the platform allows at least. */
    private static final long DUTY_TTL_MS = 2_000;
    /** Time for an answer to an order, ms, against a way of 1 ms. */
    private static final long ORDER_TIMEOUT_MS = 150;
    /** Idle time after which a kept connection carries nothing that cannot be repeated, ms. */
    private static final long FRESH_IDLE_MS = 1_500;
    /** How long callers may keep an answer of the directory, s. */
    private static final double ANSWER_TTL_S = 2;
    /** Pause between questions to peers while the store has not answered since the start, ms. */
    private static final long ASK_PEERS_MS = 500;
    /** Kept back from the grace period for ending the process, ms. */
    private static final long STOP_MARGIN_MS = 700;
    /**
     * Time for which a stopping node takes requests, ms: those sent up to 3 s after the signal may be cut at the end.
     */
    private static final long ACCEPT_AFTER_STOP_MS = 2_500;
    /** One in so many successful requests is logged. */
    private static final int LOGGED_SUCCESSES = 16;

    private final BootSettings settings;
    private final Loop loop = new Loop();
    private final JsonLines lines;
    private final StructuredLog log;
    private final NodeMetrics metrics = new NodeMetrics();

    private final PlatformBeliefs beliefs;
    private final EndpointLoads loads = new EndpointLoads();
    private final AdapterUsage use = new AdapterUsage(loop);
    private final ResidencyTable residency = new ResidencyTable(loop);
    private final OutlierDetector outliers = new OutlierDetector(loop);
    private final PrefillEstimator prefill = new PrefillEstimator();
    private final LoadTimeEstimator times;

    private final PeerTable peers;
    private final AssignmentLease lease;
    private final AssignedEngines book;
    private final Team team;
    private final DutyMember member;
    private final EndpointGateway gateway;
    private final ServingContext state;
    private final HttpServer callers;
    private final HttpServer readiness;
    private final HttpServer directory;
    private final CountDownLatch notAccepting = new CountDownLatch(1);
    private boolean leaving;

    EntryNode(BootSettings settings) {
        this.settings = settings;
        lines = new JsonLines(settings.nodeName(), loop::wallMillis, System.out);
        log = this::logged;
        loop.onFailure(this::taskFailed);
        HttpClient http = new HttpClient(loop, CONNECT_TIMEOUT_MS);
        StoreClient store = new StoreClient(http, loop, settings.store(), STORE_TIMEOUT_MS);
        beliefs = new PlatformBeliefs(loop, store, log, this::reconcile);
        gateway = new EndpointGateway(http, loop, settings.peers(), ORDER_TIMEOUT_MS, FRESH_IDLE_MS);
        peers = new PeerTable(loop, settings.peers(), settings.seeds());
        times = new LoadTimeEstimator(loop, peers::loadsInFlight, beliefs::enginesListed);
        lease = new AssignmentLease(
                loop, settings.tokensChecked(), settings.leaseMs(), settings.storeParts(), peers::mayStillOrder);
        book = new AssignedEngines(lease, this::openDuty);
        team = new Team(loop, new Team.Shared(peers, loads, use, residency, lease, book, times, log), self());
        member = new DutyMember(
                loop,
                store.duties(),
                lease,
                peers,
                log,
                new DutyMember.Identity(settings.peers(), DUTY_TTL_MS),
                this::reconcile);
        state = serveState();
        callers = new HttpServer(loop, this::callerLimits, this::serveCaller);
        readiness = new HttpServer(loop, this::callerLimits, this::serveReadiness);
        directory = new HttpServer(loop, this::callerLimits, this::serveDirectory);
        beliefs.endpoints().onNewInstance(this::newLife);
    }

    void start() {
        lines.start();
        log.log(EventCode.NODE_STARTED, settings.nodeName(), "peers", settings.peers());
        PeerNet net = new PeerNet(loop, team::receive, team::reachable);
        net.listen(Addresses.parse(settings.peers()));
        callers.listen(Addresses.parse(settings.callers()));
        readiness.listen(Addresses.parse(settings.readiness()));
        directory.listen(Addresses.parse(settings.directory()));
        loop.execute(() -> {
            beliefs.start();
            member.start();
            team.start(net);
            loop.schedule(Duration.ofMillis(ASK_PEERS_MS), this::askPeers);
        });
    }

    /** Takes no new callers, lets what runs end, and returns shortly before the grace period is over. */
    void stop() throws InterruptedException {
        long start = loop.nanoTime();
        loop.execute(() -> {
            leaving = true;
            log.log(EventCode.NODE_DRAINING, settings.nodeName(), "unanswered", callers.unanswered());
            callers.drain();
            member.leave();
            team.report();
            loop.schedule(Duration.ofMillis(ACCEPT_AFTER_STOP_MS), this::stopAccepting);
        });
        long limitMs = settings.graceMs() - STOP_MARGIN_MS;
        CountDownLatch idle = new CountDownLatch(1);
        loop.execute(() -> awaitIdle(start, idle));
        idle.await(limitMs, TimeUnit.MILLISECONDS);
        log.log(EventCode.NODE_STOPPED, settings.nodeName());
        try {
            lines.flush();
        } catch (java.io.IOException e) {
            System.err.println("log not flushed: " + e);
        }
    }

    private void stopAccepting() {
        callers.stopAccepting();
        notAccepting.countDown();
    }

    /** Ends at once, without regard to what runs. */
    void close() {
        loop.close();
    }

    /** Waits until a stopping node has closed its address for callers. */
    void awaitNotAccepting() throws InterruptedException {
        notAccepting.await();
    }

    /** Waits until callers have learned of other hosts and nothing is left to answer. */
    private void awaitIdle(long start, CountDownLatch idle) {
        boolean accepted = loop.nanoTime() - start > ACCEPT_AFTER_STOP_MS * 1_000_000;
        if (accepted && callers.unanswered() == 0) {
            idle.countDown();
        } else {
            loop.schedule(Duration.ofMillis(50), () -> awaitIdle(start, idle));
        }
    }

    private ServingContext serveState() {
        RetryBudgetShare retries = new RetryBudgetShare(
                loop, settings.retryRatio(), settings.retryExtra(), settings.retryWindowMs(), peers::retryBudgetNodes);
        AdapterDemand demand = new AdapterDemand(loop);
        EngineSelector.Inputs view = new EngineSelector.Inputs(loads, use, demand, residency, outliers, prefill);
        return new ServingContext(
                loop,
                beliefs.config(),
                beliefs.versions(),
                beliefs.endpoints(),
                loads,
                use,
                residency,
                team,
                outliers,
                prefill,
                demand,
                new EngineSelector(view, settings.zone(), team::hasOwner),
                new ServiceEndpointSelector(loads, outliers, settings.zone()),
                new Admission(),
                retries,
                gateway,
                log);
    }

    private Team.Self self() {
        return new Team.Self(
                settings.peers(),
                settings.callers(),
                settings.zone(),
                this::ready,
                () -> leaving,
                beliefs::records,
                beliefs::offered);
    }

    private boolean ready() {
        return !leaving && beliefs.complete();
    }

    private void serveCaller(ServerExchange x) {
        CallerRequest request = Ingress.decode(x);
        CallerResponse answer = Ingress.answer(x);
        if (!callers.accepting()) {
            log.log(EventCode.REQUEST_REFUSED, request == null ? "" : request.id(), "why", "stopping");
            answer.refuse(ResultCode.DRAINING, 0);
            return;
        }
        if (request == null) {
            log.log(EventCode.BAD_INPUT, "caller", "target", x.head().uri());
            answer.refuse(ResultCode.MALFORMED_REQUEST, -1);
            return;
        }
        RequestFlow flow = new RequestFlow(state, request, answer);
        x.onGone(flow::callerDisconnected);
        x.onWritable(flow::callerWritable);
        flow.start();
    }

    private void serveReadiness(ServerExchange x) {
        if (DirectoryWire.isReadinessCheck(x)) {
            DirectoryWire.answerReadiness(x, ready());
        } else {
            DirectoryWire.notFound(x);
        }
    }

    private void serveDirectory(ServerExchange x) {
        if (DirectoryWire.question(x).isEmpty()) {
            DirectoryWire.notFound(x);
            return;
        }
        List<String> addresses = new ArrayList<>();
        if (ready()) {
            addresses.add(settings.callers());
        }
        peers.up().stream().filter(p -> p.ready() && !p.leaving()).forEach(p -> addresses.add(p.callerAddress()));
        if (addresses.isEmpty()) {
            DirectoryWire.unavailable(x);
        } else {
            DirectoryWire.answer(x, addresses, Math.min(ANSWER_TTL_S, settings.maxAnswerTtlS()));
        }
    }

    private void newLife(Endpoint e) {
        outliers.reset(e.id());
        times.removeEngine(e.id());
        use.removeEngine(e.id());
    }

    private void taskFailed(Throwable t) {
        StackTraceElement[] at = t.getStackTrace();
        log.log(EventCode.TASK_FAILED, "loop", "cause", t, "at", at.length == 0 ? "" : at[0]);
    }

    private void reconcile() {
        book.reconcile(beliefs.endpoints().ready());
    }

    /** Opens the duty for an engine; null for an endpoint of a plain service or before a configuration is known. */
    private EngineController openDuty(Endpoint e) {
        ServiceSpec service =
                beliefs.config().current().map(c -> c.service(e.service())).orElse(null);
        if (service == null || !service.servesModels()) {
            return null;
        }
        int duty = lease.partitionOf(e.id());
        EngineController.TokenSource token = new EngineController.TokenSource() {
            @Override
            public long current() {
                return lease.token(duty);
            }

            @Override
            public void orderSent() {
                lease.recordOrder(duty);
            }

            @Override
            public void rejected(long t) {
                lease.tokenRejected(t);
            }
        };
        return new EngineController(
                new EngineController.Context(loop, gateway, log, use, times), token, service.engine(), e);
    }

    private void askPeers() {
        if (!ready() && !leaving) {
            team.askForRecords();
            loop.schedule(Duration.ofMillis(ASK_PEERS_MS), this::askPeers);
        }
    }

    private ServerLimits callerLimits() {
        IngressLimits l = beliefs.config().limits();
        return new ServerLimits(l.maxHeaderBytes(), l.maxBodyBytes(), l.headerTimeoutMs(), l.idleTimeoutMs());
    }

    /** Serves the metrics as text at a port of this host's address. */
    void listenMetrics(int port) {
        metrics.gauge("callers_unanswered", callers::unanswered);
        metrics.gauge("operator_records_age_ms", beliefs::configAgeMs);
        metrics.gauge("endpoint_entries_age_ms", beliefs::entriesAgeMs);
        metrics.gauge("peers_up", () -> peers.up().size());
        metrics.gauge("duties_held", () -> lease.owned().size());
        metrics.gauge("duty_generation", lease::generation);
        InetSocketAddress own = Addresses.parse(settings.callers());
        new HttpServer(loop, this::callerLimits, this::serveMetrics)
                .listen(new InetSocketAddress(own.getAddress(), port));
    }

    private void serveMetrics(ServerExchange x) {
        x.answer(200, EmptyHttpHeaders.INSTANCE, metrics.text().getBytes(StandardCharsets.UTF_8));
    }

    private void logged(EventCode code, String subject, Object... fields) {
        metrics.decided(code, fields);
        boolean sampledOut = code == EventCode.REQUEST_DONE && Math.floorMod(subject.hashCode(), LOGGED_SUCCESSES) != 0;
        if (!sampledOut) {
            lines.log(code, subject, fields);
        }
    }
}
