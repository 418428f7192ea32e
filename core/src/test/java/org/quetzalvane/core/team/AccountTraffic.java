package org.quetzalvane.core.team;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import java.util.function.Supplier;

import org.quetzalvane.core.limit.PermitBucket;
import org.quetzalvane.core.routes.Allowance;
import org.quetzalvane.core.routes.ClientAccount;
import org.quetzalvane.core.time.ManualScheduler;

/** Requests of one account at the nodes of a network, with exponential pauses, and what arrives of them at endpoints. */
final class AccountTraffic {
    /** Cost of the cheapest and of the dearest request, units, as the deployments charge them. */
    private static final long MIN_COST = 200;

    private static final long MAX_COST = 5_000;
    /** Mean of {@link #randomCost}, units. */
    static final double MEAN_COST = MIN_COST + (MAX_COST - MIN_COST) / 4.0;

    final PermitNetwork network;
    ClientAccount account;
    long version = 1;
    /** Selects the node at which a request arrives. */
    Supplier<PermitNetwork.Node> node;
    /** Limit that a node knows, with its version. */
    Function<PermitNetwork.Node, Known> known = n -> new Known(account, version);
    /** Part of the granted requests that are sent a second time. */
    double retryPart;
    /** Part of the granted requests that are certainly not run and give their cost back. */
    double notRunPart;

    private final List<Event> arrivals = new ArrayList<>();

    private final List<Event> offered = new ArrayList<>();
    private final List<Event> denied = new ArrayList<>();
    private final List<Long> waits = new ArrayList<>();

    /** An account as a version of the configuration states it. */
    record Known(ClientAccount account, long version) {}

    private record Event(long nanos, long cost) {}

    AccountTraffic(PermitNetwork network, String name, double perSecond, double burst) {
        this.network = network;
        this.account = account(name, perSecond, burst);
        this.node = () -> network.nodes.get(network.random.nextInt(network.nodes.size()));
    }

    static ClientAccount account(String name, double perSecond, double burst) {
        return new ClientAccount(name, 1, new Allowance(Allowance.Unit.TOKENS, perSecond, burst, 200));
    }

    /** Plays requests that cost so many units per second together, while the time advances. */
    void play(long ms, double unitsPerSecond) {
        begin(ms, unitsPerSecond);
        network.clock.advance(Duration.ofMillis(ms));
    }

    /** Schedules requests for a time that the caller then advances. */
    void begin(long ms, double unitsPerSecond) {
        if (unitsPerSecond > 0) {
            scheduleRequest(unitsPerSecond / MEAN_COST, network.clock.nanoTime() + ms * 1_000_000);
        }
    }

    private void scheduleRequest(double perSecond, long end) {
        long pause = (long) (-Math.log(1 - network.random.nextDouble()) / perSecond * 1e9);
        if (network.clock.nanoTime() + pause < end) {
            network.clock.schedule(Duration.ofNanos(pause), () -> {
                request(node.get(), randomCost());
                scheduleRequest(perSecond, end);
            });
        }
    }

    private long randomCost() {
        double u = network.random.nextDouble();
        return MIN_COST + Math.round((MAX_COST - MIN_COST) * u * u * u);
    }

    /** A request arrives at a node. */
    void request(PermitNetwork.Node n, long cost) {
        if (n.isKilled()) {
            return;
        }
        offered.add(new Event(network.clock.nanoTime(), cost));
        n.scheduler.run(() -> {
            AllowanceExchange process = n.allowances;
            Known k = known.apply(n);
            process.acquire(k.account, k.version, cost, p -> {
                if (n.allowances != process) {
                    return;
                }
                if (p.granted()) {
                    send(n, cost);
                } else {
                    denied.add(new Event(network.clock.nanoTime(), cost));
                    waits.add(p.waitMs());
                }
            });
        });
    }

    private void send(PermitNetwork.Node n, long cost) {
        if (network.random.nextDouble() < notRunPart) {
            n.allowances.giveBack(account, cost);
            return;
        }
        arrive(cost);
        if (network.random.nextDouble() < retryPart) {
            n.allowances.charge(account, version, cost);
            arrive(cost);
        }
    }

    private void arrive(long cost) {
        network.clock.schedule(network.delay(), () -> arrivals.add(new Event(network.clock.nanoTime(), cost)));
    }

    /** Most units that arrived within a window, from a time on. */
    long worstWindow(long windowMs, long fromNanos) {
        long most = 0;
        long sum = 0;
        int first = 0;
        List<Event> events = arrivals.stream().filter(e -> e.nanos >= fromNanos).toList();
        for (Event e : events) {
            sum += e.cost;
            while (e.nanos - events.get(first).nanos >= windowMs * 1_000_000) {
                sum -= events.get(first++).cost;
            }
            most = Math.max(most, sum);
        }
        return most;
    }

    long arrived(long fromNanos) {
        return sum(arrivals, fromNanos);
    }

    long offered(long fromNanos) {
        return sum(offered, fromNanos);
    }

    long deniedCount(long fromNanos) {
        return denied.stream().filter(e -> e.nanos >= fromNanos).count();
    }

    /** Stated waits of the denied requests, ms. */
    List<Long> waits() {
        return waits;
    }

    /** Units that one bucket with full knowledge grants of the offered requests; it is full at the given time. */
    long grantedByOneBucket(long fromNanos) {
        ManualScheduler clock = new ManualScheduler();
        clock.runUntil(fromNanos);
        double rate = account.allowance().perSecond();
        double burst = account.allowance().burst();
        PermitBucket bucket = new PermitBucket(clock, fromNanos - (long) (burst / rate * 1e9), rate, burst);
        long granted = 0;
        for (Event e : offered) {
            if (e.nanos >= fromNanos) {
                clock.runUntil(e.nanos);
                granted += bucket.take(e.cost, e.cost, 0);
            }
        }
        return granted;
    }

    private static long sum(List<Event> events, long fromNanos) {
        return events.stream()
                .filter(e -> e.nanos >= fromNanos)
                .mapToLong(Event::cost)
                .sum();
    }
}
