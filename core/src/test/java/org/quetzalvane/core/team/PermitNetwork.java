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
import org.quetzalvane.core.fleet.Endpoint;
import org.quetzalvane.core.limit.EndpointLimit;
import org.quetzalvane.core.time.ManualScheduler;

/**
 * Nodes that send requests to limited endpoints and share the limits over a fake network with delay, on a manual clock.
 * A request whose endpoint has no permit at once goes elsewhere and is not followed.
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
    int messages;

    PermitNetwork(int size, UniformRandomProvider random) {
        this.random = random;
        for (int i = 0; i < size; i++) {
            nodes.add(new Node("n" + i, i));
        }
        nodes.forEach(n -> n.exchange.start());
    }

    /** One node of the network. */
    final class Node {
        final String name;
        final int index;
        final FreezableScheduler scheduler = new FreezableScheduler(clock);
        PermitExchange exchange;

        Node(String name, int index) {
            this.name = name;
            this.index = index;
            exchange = create();
        }

        /** Begins without any knowledge, as a new process. */
        void restart() {
            exchange = create();
            exchange.start();
        }

        private PermitExchange create() {
            return new PermitExchange(
                    scheduler,
                    (code, subject, fields) -> {},
                    new HubLinks(name, this::isHub, this::hubs, this::members, this::send),
                    () -> seen().size() + 1);
        }

        private boolean isHub() {
            return index < HUBS || cutOff.contains(this);
        }

        private List<Node> seen() {
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
            messages++;
            clock.schedule(delay(), () -> {
                if (cutOff.contains(this) == cutOff.contains(receiver)) {
                    receiver.scheduler.run(() -> receiver.exchange.receive(m));
                }
            });
            return true;
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

    private Duration delay() {
        return Duration.ofNanos(500_000 + random.nextLong(MAX_DELAY_NANOS - 500_000));
    }

    static Endpoint endpoint(int number) {
        return new Endpoint("e" + number, "plain", "127.0.0.1", 1, "a", "v1", Endpoint.State.READY, 4, 1, Map.of());
    }

    /** Cuts nodes off from the others, which see each other; both sides notice after the usual time. */
    void cutOff(Collection<Node> side) {
        cutOff.addAll(side);
    }

    void heal() {
        cutOff.clear();
    }

    /** Freezes a node; the others no longer see it after the usual time. */
    void freeze(Node n) {
        n.scheduler.setFrozen(true);
        clock.schedule(Duration.ofMillis(UP_TIMEOUT_MS), () -> unseen.add(n));
    }

    void thaw(Node n) {
        unseen.remove(n);
        n.scheduler.setFrozen(false);
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
