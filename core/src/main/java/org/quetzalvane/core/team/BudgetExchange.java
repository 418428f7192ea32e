package org.quetzalvane.core.team;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.BiPredicate;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.IntSupplier;
import java.util.function.LongFunction;
import java.util.function.Supplier;

import org.quetzalvane.core.cluster.RendezvousHash;
import org.quetzalvane.core.limit.PermitBucket;
import org.quetzalvane.core.time.Scheduler;
import org.quetzalvane.core.time.Stopwatch;

/**
 * Budgets that all nodes share, each held as a token bucket by one hub: selects the holder of a key, keeps the buckets
 * that this node holds, matches replies to requests and counts the nodes.
 *
 * <p>The holder is the first of the hubs in rendezvous order of the key, so that nodes that know the same hubs ask the
 * same one. Confined to the event loop.
 *
 * @param <K> identifies a budget
 * @param <R> reply of a holder
 */
final class BudgetExchange<K, R> {
    /** Time beyond the longest wait after which a holder counts as silent, ms: many times the network delay. */
    static final long REPLY_TIMEOUT_MS = 100;
    /** Time for which the most nodes seen are remembered, ms. */
    static final long MOST_NODES_MS = 60_000;
    /** Interval at which the nodes are counted, ms. */
    static final long COUNT_INTERVAL_MS = 500;
    /** Largest number of buckets kept. */
    static final int MAX_BUCKETS = 1_000;

    private final Scheduler scheduler;
    private final HubLinks peers;
    private final IntSupplier nodes;
    private final Function<K, String> name;
    private final Map<K, PermitBucket> buckets = new LinkedHashMap<>();
    private final Map<Long, Pending<R>> pending = new HashMap<>();
    private Set<String> hubs = Set.of();
    private long lastNumber;
    private int mostNodes;
    private long mostNodesNanos;

    /** A request to a holder; a grant that arrives later than the timeout, as after a pause, is not used. */
    private record Pending<R>(Consumer<R> done, R ifSilent, Stopwatch sinceAsked, long timeoutMs) {
        boolean isLate() {
            return sinceAsked.elapsedMs() > timeoutMs;
        }
    }

    /**
     * Creates an exchange that holds nothing yet.
     *
     * @param nodes number of nodes that are up, with this one
     * @param name text of a key, equal on all nodes
     */
    BudgetExchange(Scheduler scheduler, HubLinks peers, IntSupplier nodes, Function<K, String> name) {
        this.scheduler = scheduler;
        this.peers = peers;
        this.nodes = nodes;
        this.name = name;
    }

    /** Starts to count the nodes at intervals. */
    void start() {
        countNodes();
        scheduler.repeat(Duration.ofMillis(COUNT_INTERVAL_MS), this::countNodes);
    }

    /** Address of the holder of a key, or null if no hub is known. */
    String holder(K key) {
        return RendezvousHash.rank(name.apply(key), peers.hubsWithSelf(), h -> h).stream()
                .findFirst()
                .orElse(null);
    }

    boolean isSelf(String holder) {
        return peers.self().equals(holder);
    }

    /** Whether the hubs have changed since the last call. */
    boolean updateHubs() {
        Collection<String> now = peers.hubsWithSelf();
        boolean changed = now.size() != hubs.size() || !hubs.containsAll(now);
        if (changed) {
            hubs = new HashSet<>(now);
        }
        return changed;
    }

    /** The bucket of a key, or null. */
    PermitBucket find(K key) {
        return buckets.get(key);
    }

    /** The bucket of a key, created if there is none; the oldest one is dropped if there are too many. */
    PermitBucket findOrCreate(K key, Supplier<PermitBucket> created) {
        PermitBucket b = buckets.get(key);
        if (b == null) {
            if (buckets.size() >= MAX_BUCKETS) {
                buckets.remove(buckets.keySet().iterator().next());
            }
            b = created.get();
            buckets.put(key, b);
        }
        return b;
    }

    PermitBucket remove(K key) {
        return buckets.remove(key);
    }

    void removeIf(BiPredicate<K, PermitBucket> condition) {
        buckets.entrySet().removeIf(e -> condition.test(e.getKey(), e.getValue()));
    }

    /**
     * Sends a numbered request to a holder.
     *
     * @param holder address, or null if none is known
     * @param message the request with a given number
     * @param maxWaitMs longest time for which the holder may withhold its reply
     * @param done called once, with the reply or else with {@code ifSilent}, never before this method returns
     * @return number of the request
     */
    long ask(String holder, LongFunction<PeerMessage> message, long maxWaitMs, Consumer<R> done, R ifSilent) {
        long n = ++lastNumber;
        boolean sent = holder != null && peers.send(holder, message.apply(n));
        long timeoutMs = sent ? maxWaitMs + REPLY_TIMEOUT_MS : 0;
        pending.put(n, new Pending<>(done, ifSilent, Stopwatch.start(scheduler), timeoutMs));
        scheduler.schedule(Duration.ofMillis(timeoutMs), () -> complete(n, ifSilent));
        return n;
    }

    /** Completes the request with this number; returns false if it is complete already or the reply is late. */
    boolean complete(long number, R reply) {
        Pending<R> p = pending.remove(number);
        if (p == null) {
            return false;
        }
        boolean late = p.isLate();
        p.done().accept(late ? p.ifSilent() : reply);
        return !late;
    }

    /** Remembers the most nodes seen; returns the number that is seen now. */
    int countNodes() {
        long now = scheduler.nanoTime();
        int seen = nodes.getAsInt();
        if (seen >= mostNodes || now - mostNodesNanos > MOST_NODES_MS * 1_000_000) {
            mostNodes = seen;
            mostNodesNanos = now;
        }
        return seen;
    }

    /** The most nodes seen lately, with this one. */
    int mostNodes() {
        return mostNodes;
    }
}
