package org.quetzalvane.core.team;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.apache.commons.rng.UniformRandomProvider;
import org.quetzalvane.core.event.StructuredLog;
import org.quetzalvane.core.fleet.Endpoint;
import org.quetzalvane.core.limit.EndpointLimit;
import org.quetzalvane.core.limit.QuotaBounds;
import org.quetzalvane.core.routes.ClientAccount;
import org.quetzalvane.core.time.ManualScheduler;

/**
 * Nodes that share the limits of endpoints and the allowances of accounts over a fake network with delay, on a manual
 * clock. They send requests to limited endpoints; a request whose endpoint has no permit at once goes elsewhere and is
 * not followed. {@link AccountTraffic} sends the requests of accounts.
 */
final class PermitNetwork {
    /** Nodes up to which all are hubs, and number of hubs beyond. */
    static final int HUBS = 12;
    /** Longest delay of a message, ns. */
    private static final long MAX_DELAY_NANOS = 5_000_000;
    /** Longest wait that is accepted if the node expects none, ms. */
    private static final long MAX_WAIT_MS = 50;
    /** Time after which the others no longer see a node that stands still or is cut off, ms. */
    private static final long UP_TIMEOUT_MS = PeerTable.UP_TIMEOUT_MS;

    final ManualScheduler clock = new ManualScheduler();
    final UniformRandomProvider random;
    final List<Node> nodes = new ArrayList<>();
    /** Limits that the endpoints name in their answers now. */
    final Map<Endpoint, Double> named = new HashMap<>();
    /** Times of the requests that reached each endpoint. */
    final Map<Endpoint, List<Long>> arrivals = new HashMap<>();

    private final Set<Node> cutOff = new HashSet<>();
    private final Set<Node> unseen = new HashSet<>();
    private final Set<Node> killed = new HashSet<>();
    /** Nodes whose messages do not reach the others, which have not noticed it yet. */
    private final Set<Node> unreachable = new HashSet<>();

    final QuotaBounds bounds;
    int messages;

    PermitNetwork(int size, UniformRandomProvider random) {
        this(size, random, QuotaBounds.DEFAULT);
    }

    PermitNetwork(int size, UniformRandomProvider random, QuotaBounds bounds) {
        this.random = random;
        this.bounds = bounds;
        for (int i = 0; i < size; i++) {
            nodes.add(new Node("n" + i, i));
        }
        nodes.forEach(Node::start);
    }

    /** One node of the network. */
    final class Node {
        final String name;
        final int index;
        final FreezableScheduler scheduler = new FreezableScheduler(clock);
        PermitExchange exchange;
        AllowanceExchange allowances;
        /** Time until which a node that was started has not heard of the others. */
        private long unawareUntilNanos;

        Node(String name, int index) {
            this.name = name;
            this.index = index;
            create();
        }

        /** Begins without any knowledge, as a new process. */
        void restart() {
            create();
            start();
        }

        /** Begins as a new process that hears of the others after some time. */
        void restartUnaware(long ms) {
            unawareUntilNanos = clock.nanoTime() + ms * 1_000_000;
            restart();
        }

        private void create() {
            HubLinks links = new HubLinks(name, this::isHub, this::hubs, this::members, this::send);
            StructuredLog log = (code, subject, fields) -> {};
            exchange = new PermitExchange(scheduler, log, links, () -> seen().size() + 1);
            allowances = new AllowanceExchange(scheduler, log, links, () -> seen().size() + 1, bounds);
        }

        private void start() {
            exchange.start();
            allowances.start();
        }

        boolean isKilled() {
            return killed.contains(this);
        }

        private boolean isHub() {
            return index < HUBS || cutOff.contains(this);
        }

        private List<Node> seen() {
            if (clock.nanoTime() < unawareUntilNanos) {
                return List.of();
            }
            return nodes.stream()
                    .filter(n -> n != this && cutOff.contains(n) == cutOff.contains(this) && !unseen.contains(n))
                    .toList();
        }

        private Collection<String> hubs() {
            return seen().stream().filter(Node::isHub).map(n -> n.name).toList();
        }

        private Collection<String> members() {
            return isHub()
                    ? seen().stream()
                            .filter(n -> !n.isHub() && n.index % HUBS == index)
                            .map(n -> n.name)
                            .toList()
                    : List.of();
        }

        private boolean send(String to, PeerMessage m) {
            Node receiver = nodes.get(Integer.parseInt(to.substring(1)));
            if (receiver.isKilled()) {
                return false;
            }
            messages++;
            clock.schedule(delay(), () -> {
                if (cutOff.contains(this) == cutOff.contains(receiver)
                        && unreachable.contains(this) == unreachable.contains(receiver)) {
                    receiver.scheduler.run(() -> receiver.receive(m));
                }
            });
            return true;
        }

        private void receive(PeerMessage m) {
            if (!exchange.receive(m)) {
                allowances.receive(m);
            }
        }

        /** A request arrives for an endpoint; it is sent there if there is a permit for it now. */
        void request(Endpoint e, int rank) {
            if (exchange.waitMs(e) == 0) {
                exchange.acquire(e, rank, MAX_WAIT_MS, permit -> {
                    if (permit.granted()) {
                        sendTo(e);
                    }
                });
            }
        }

        private void sendTo(Endpoint e) {
            long sent = scheduler.nanoTime();
            clock.schedule(delay(), () -> {
                arrivals.computeIfAbsent(e, k -> new ArrayList<>()).add(clock.nanoTime());
                double limit = named.getOrDefault(e, EndpointLimit.NONE);
                clock.schedule(delay(), () -> scheduler.run(() -> exchange.observe(e, limit, sent)));
            });
        }
    }

    Duration delay() {
        return Duration.ofNanos(500_000 + random.nextLong(MAX_DELAY_NANOS - 500_000));
    }

    static Endpoint endpoint(int number) {
        return new Endpoint("e" + number, "plain", "127.0.0.1", 1, "a", "v1", Endpoint.State.READY, 4, 1, Map.of());
    }

    /** Cuts nodes off from the others, which see each other; both sides notice after the usual time. */
    void cutOff(Collection<Node> side) {
        cutOff.addAll(side);
    }

    /** Cuts nodes off from the others; until both sides notice, they see each other. */
    void partition(Collection<Node> side) {
        unreachable.addAll(side);
        clock.schedule(Duration.ofMillis(UP_TIMEOUT_MS), () -> cutOff.addAll(unreachable));
    }

    void heal() {
        unreachable.clear();
        cutOff.clear();
    }

    /** Ends a node for good; its connections end at once, and the others no longer see it after the usual time. */
    void kill(Node n) {
        killed.add(n);
        freeze(n);
    }

    /** The node that holds the budget of an account. */
    Node holderOf(ClientAccount a) {
        return nodes.stream()
                .filter(n -> n.allowances.holds(a.name()))
                .findFirst()
                .orElseThrow();
    }

    /** Freezes a node; the others no longer see it after the usual time. */
    void freeze(Node n) {
        n.scheduler.setFrozen(true);
        clock.schedule(Duration.ofMillis(UP_TIMEOUT_MS), () -> unseen.add(n));
    }

    /** Freezes a node and stops its monotonic clock. */
    void suspend(Node n) {
        n.scheduler.setPaused(true, true);
        clock.schedule(Duration.ofMillis(UP_TIMEOUT_MS), () -> unseen.add(n));
    }

    void thaw(Node n) {
        unseen.remove(n);
        n.scheduler.setPaused(false, false);
    }

    /** Thaws all nodes that were frozen or suspended, not those that were killed. */
    void thawAll() {
        nodes.stream().filter(n -> !n.isKilled()).forEach(this::thaw);
    }

    /** Plays requests for endpoints, with exponential pauses, at random nodes and ranks. */
    void play(long ms, Map<Endpoint, Double> perSecond) {
        long end = clock.nanoTime() + ms * 1_000_000;
        perSecond.forEach((e, rate) -> scheduleRequest(e, rate, end));
        clock.advance(Duration.ofMillis(ms));
    }

    private void scheduleRequest(Endpoint e, double rate, long end) {
        long pause = (long) (-Math.log(1 - random.nextDouble()) / rate * 1e9);
        if (clock.nanoTime() + pause < end) {
            clock.schedule(Duration.ofNanos(pause), () -> {
                Node n = nodes.get(random.nextInt(nodes.size()));
                int rank = random.nextInt(3);
                n.scheduler.run(() -> n.request(e, rank));
                scheduleRequest(e, rate, end);
            });
        }
    }

    /** Most requests that reached an endpoint within four seconds, from a time on. */
    int mostInFourSeconds(Endpoint e, long fromNanos) {
        List<Long> times = arrivals.getOrDefault(e, List.of()).stream()
                .filter(t -> t >= fromNanos)
                .sorted()
                .toList();
        int most = 0;
        int first = 0;
        for (int i = 0; i < times.size(); i++) {
            while (times.get(i) - times.get(first) >= 4_000_000_000L) {
                first++;
            }
            most = Math.max(most, i - first + 1);
        }
        return most;
    }

    /** Number of requests that reached an endpoint from a time on. */
    long arrivals(Endpoint e, long fromNanos) {
        return arrivals.getOrDefault(e, List.of()).stream()
                .filter(t -> t >= fromNanos)
                .count();
    }
}
