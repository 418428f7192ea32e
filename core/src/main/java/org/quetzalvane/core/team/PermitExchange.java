package org.quetzalvane.core.team;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import java.util.function.Predicate;

import org.quetzalvane.core.cluster.RendezvousHash;
import org.quetzalvane.core.event.EventCode;
import org.quetzalvane.core.event.StructuredLog;
import org.quetzalvane.core.fleet.Endpoint;
import org.quetzalvane.core.limit.EndpointLimit;
import org.quetzalvane.core.limit.EndpointPermits;
import org.quetzalvane.core.limit.LimitTable;
import org.quetzalvane.core.limit.Permit;
import org.quetzalvane.core.limit.PermitBucket;
import org.quetzalvane.core.time.Scheduler;
import org.quetzalvane.core.time.Stopwatch;

/**
 * Shares the limits that endpoints name between the nodes, and obtains the permits to send requests to these endpoints.
 *
 * <p>One hub holds the permits of each limited instance: the first of the hubs in rendezvous order of the instance, so
 * that nodes that know the same hubs ask the same one. Nothing is sent to a limited endpoint without a permit of a
 * holder. Confined to the event loop.
 */
public final class PermitExchange implements EndpointPermits {
    /** Time for which changes of limits are collected before they are shared, ms. */
    static final long SHARE_DELAY_MS = 50;
    /** Time beyond the longest wait after which a holder counts as silent, ms: many times the network delay. */
    static final long REPLY_TIMEOUT_MS = 100;
    /** Time for which an endpoint whose holder is silent is sent nothing, ms: one status interval. */
    static final long HOLDER_RETRY_MS = PeerTable.STATUS_INTERVAL_MS;
    /** Time for which the most nodes seen are remembered, ms. */
    static final long MOST_NODES_MS = 60_000;
    /** Interval at which the nodes are counted, ms. */
    private static final long COUNT_INTERVAL_MS = 500;
    /** Rate at which those that wait are granted their permits when the limit has ended. */
    private static final double UNLIMITED_PER_SECOND = 1e6;
    /** Largest number of buckets and waits kept, and of elements of a message that are processed. */
    private static final int MAX_ELEMENTS = 1_000;

    private final Scheduler scheduler;
    private final StructuredLog log;
    private final HubLinks peers;
    private final IntSupplier nodes;
    private final LimitTable limits;
    private final Map<Instance, PermitBucket> buckets = new LinkedHashMap<>();
    private final Map<Instance, Long> waitUntilNanos = new HashMap<>();
    private final Map<Long, Pending> pending = new HashMap<>();
    private final Map<Instance, Long> changed = new HashMap<>();
    private long lastNumber;
    private int mostNodes;
    private long mostNodesNanos;
    private long granted;
    private long denied;

    private record Instance(String endpoint, long bornMs) {
        static Instance of(Endpoint e) {
            return new Instance(e.id(), e.bornMs());
        }

        String key() {
            return endpoint + '@' + bornMs;
        }
    }

    /** A request to a holder; a grant that arrives later than the timeout, as after a pause, is not used. */
    private record Pending(Instance instance, Consumer<Permit> done, Stopwatch sinceAsked, long timeoutMs) {
        boolean isLate() {
            return sinceAsked.elapsedMs() > timeoutMs;
        }
    }

    /**
     * Creates the exchange of a node that knows no limits yet.
     *
     * @param nodes number of nodes that are up, with this one
     */
    public PermitExchange(Scheduler scheduler, StructuredLog log, HubLinks peers, IntSupplier nodes) {
        this.scheduler = scheduler;
        this.log = log;
        this.peers = peers;
        this.nodes = nodes;
        this.limits = new LimitTable(scheduler);
    }

    /** Starts to count the nodes at intervals. */
    public void start() {
        countNodes();
        scheduler.repeat(Duration.ofMillis(COUNT_INTERVAL_MS), this::countNodes);
    }

    /** Number of endpoints with a limit. */
    public int limitedEndpoints() {
        return limits.size();
    }

    /** Number of permits that this node has been granted. */
    public long granted() {
        return granted;
    }

    /** Number of permits that this node has been denied. */
    public long denied() {
        return denied;
    }

    /**
     * Applies what an answer that has just arrived says about the limit of its endpoint.
     *
     * @param perSecond requests per second, or {@link EndpointLimit#NONE}
     * @param sentNanos time at which the request was sent
     */
    public void observe(Endpoint e, double perSecond, long sentNanos) {
        if (limits.apply(e, perSecond, sentNanos)) {
            limitChanged(Instance.of(e), perSecond, "endpoint");
            if (changed.isEmpty()) {
                scheduler.schedule(Duration.ofMillis(SHARE_DELAY_MS), this::shareChanges);
            }
            changed.put(Instance.of(e), sentNanos);
        }
    }

    /**
     * Drops what is kept for endpoints that are gone.
     *
     * @param isListed whether an endpoint with an id is known
     */
    public void removeGone(Predicate<String> isListed) {
        limits.removeGone(isListed);
        buckets.entrySet()
                .removeIf(
                        b -> b.getValue().isIdle() && !isListed.test(b.getKey().endpoint()));
        waitUntilNanos.keySet().removeIf(i -> !isListed.test(i.endpoint()));
    }

    @Override
    public long waitMs(Endpoint e) {
        Long until = limits.isLimited(e) ? waitUntilNanos.get(Instance.of(e)) : null;
        return until == null ? 0 : Math.max(0, (until - scheduler.nanoTime()) / 1_000_000);
    }

    @Override
    public long intervalMs(Endpoint e) {
        return limits.isLimited(e) ? Math.round(PermitBucket.intervalMs(limits.perSecond(e.id(), e.bornMs()))) : 0;
    }

    @Override
    public void acquire(Endpoint e, int rank, long maxWaitMs, Consumer<Permit> done) {
        if (!limits.isLimited(e)) {
            done.accept(Permit.UNLIMITED);
            return;
        }
        Instance i = Instance.of(e);
        String holder = holder(i);
        double perSecond = limits.perSecond(e.id(), e.bornMs());
        if (peers.self().equals(holder)) {
            bucket(i, perSecond).ask(rank, maxWaitMs, p -> complete(i, p, done));
            return;
        }
        long n = ++lastNumber;
        PeerMessage.PermitRequest m =
                new PeerMessage.PermitRequest(peers.self(), n, e.id(), e.bornMs(), perSecond, rank, maxWaitMs);
        boolean sent = holder != null && peers.send(holder, m);
        long timeoutMs = sent ? maxWaitMs + REPLY_TIMEOUT_MS : 0;
        pending.put(n, new Pending(i, done, Stopwatch.start(scheduler), timeoutMs));
        scheduler.schedule(Duration.ofMillis(timeoutMs), () -> complete(n, Permit.denied(HOLDER_RETRY_MS)));
    }

    @Override
    public void giveBack(Endpoint e) {
        if (!limits.isLimited(e)) {
            return;
        }
        Instance i = Instance.of(e);
        String holder = holder(i);
        PermitBucket own = buckets.get(i);
        if (peers.self().equals(holder) && own != null) {
            own.giveBack();
        } else if (holder != null) {
            peers.send(holder, new PeerMessage.PermitReturn(peers.self(), i.endpoint(), i.bornMs()));
        }
    }

    /** Processes a message of a peer; returns false if it does not concern limits. */
    public boolean receive(PeerMessage m) {
        if (m instanceof PeerMessage.EndpointLimits l) {
            applyLimits(l);
        } else if (m instanceof PeerMessage.PermitRequest r) {
            grant(r);
        } else if (m instanceof PeerMessage.PermitReply r) {
            Pending p = pending.get(r.number());
            boolean late = p == null || p.isLate();
            complete(r.number(), late ? Permit.denied(HOLDER_RETRY_MS) : new Permit(r.granted(), r.waitMs()));
            if (late && r.granted()) {
                peers.send(r.from(), new PeerMessage.PermitReturn(peers.self(), r.endpoint(), r.bornMs()));
            }
        } else if (m instanceof PeerMessage.PermitReturn r) {
            PermitBucket b = buckets.get(new Instance(r.endpoint(), r.bornMs()));
            if (b != null) {
                b.giveBack();
            }
        } else {
            return false;
        }
        return true;
    }

    /** Tells a peer to which a connection was made the limits in force, as it may have just started. */
    public void peerConnected(String peer) {
        if (limits.size() > 0) {
            peers.send(peer, new PeerMessage.EndpointLimits(peers.self(), limits.all()));
        }
    }

    private void applyLimits(PeerMessage.EndpointLimits m) {
        List<EndpointLimit> news = new ArrayList<>();
        for (EndpointLimit l :
                m.limits().subList(0, Math.min(MAX_ELEMENTS, m.limits().size()))) {
            if (limits.apply(l)) {
                limitChanged(new Instance(l.endpoint(), l.bornMs()), l.perSecond(), m.from());
                news.add(l);
            }
        }
        if (!news.isEmpty()) {
            peers.relay(new PeerMessage.EndpointLimits(m.from(), news));
        }
    }

    private void limitChanged(Instance i, double perSecond, String source) {
        log.log(EventCode.ENDPOINT_LIMIT, i.endpoint(), "per_second", perSecond, "born", i.bornMs(), "source", source);
        boolean ended = perSecond == EndpointLimit.NONE;
        PermitBucket b = ended ? buckets.remove(i) : buckets.get(i);
        if (ended) {
            waitUntilNanos.remove(i);
        }
        if (b != null) {
            b.setRate(ended ? UNLIMITED_PER_SECOND : perSecond * share());
        }
    }

    private void shareChanges() {
        List<EndpointLimit> limitsNow = new ArrayList<>();
        changed.forEach((i, sentNanos) -> limitsNow.add(limits.describe(i.endpoint(), i.bornMs(), sentNanos)));
        changed.clear();
        peers.publish(new PeerMessage.EndpointLimits(peers.self(), limitsNow));
    }

    /** Grants a permit as its holder, or because the sender takes this node for it. */
    private void grant(PeerMessage.PermitRequest r) {
        double known = limits.perSecond(r.endpoint(), r.bornMs());
        PermitBucket b = bucket(new Instance(r.endpoint(), r.bornMs()), known < 0 ? r.perSecond() : known);
        b.ask(
                r.rank(),
                r.maxWaitMs(),
                p -> peers.send(
                        r.from(),
                        new PeerMessage.PermitReply(
                                peers.self(), r.number(), r.endpoint(), r.bornMs(), p.granted(), p.waitMs())));
    }

    private PermitBucket bucket(Instance i, double perSecond) {
        PermitBucket b = buckets.get(i);
        if (b == null) {
            if (buckets.size() >= MAX_ELEMENTS) {
                buckets.remove(buckets.keySet().iterator().next());
            }
            b = new PermitBucket(scheduler);
            buckets.put(i, b);
        }
        b.setRate(perSecond * share());
        return b;
    }

    /**
     * Part of a limit that this node grants as holder: all of it if it sees more than half of the most nodes seen
     * lately, so that the sides of a cut do not add up to much more than the limit.
     */
    private double share() {
        int seen = countNodes();
        return 2 * seen > mostNodes ? 1 : seen / (2.0 * mostNodes);
    }

    /** Remembers the most nodes seen; returns the number that is seen now. */
    private int countNodes() {
        long now = scheduler.nanoTime();
        int seen = nodes.getAsInt();
        if (seen >= mostNodes || now - mostNodesNanos > MOST_NODES_MS * 1_000_000) {
            mostNodes = seen;
            mostNodesNanos = now;
        }
        return seen;
    }

    private String holder(Instance i) {
        return RendezvousHash.rank(i.key(), peers.hubsWithSelf(), h -> h).stream()
                .findFirst()
                .orElse(null);
    }

    /** Completes the request with this number unless it is complete already. */
    private void complete(long number, Permit permit) {
        Pending p = pending.remove(number);
        if (p != null) {
            complete(p.instance(), permit, p.done());
        }
    }

    private void complete(Instance i, Permit permit, Consumer<Permit> done) {
        if (permit.granted()) {
            granted++;
        } else {
            denied++;
        }
        if (waitUntilNanos.size() > MAX_ELEMENTS) {
            waitUntilNanos.clear();
        }
        if (permit.waitMs() > 0) {
            waitUntilNanos.put(i, scheduler.nanoTime() + permit.waitMs() * 1_000_000);
        } else {
            waitUntilNanos.remove(i);
        }
        done.accept(permit);
    }
}
