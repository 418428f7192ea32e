package org.quetzalvane.core.residency;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.quetzalvane.core.routes.AdapterRef;
import org.quetzalvane.core.time.Scheduler;

/**
 * Adapters in use on each engine: by requests of this node exactly, by those of its peers as last reported.
 *
 * <p>Confined to the event loop.
 */
public final class AdapterUsage {
    /** Requests in progress for an adapter from which it counts as popular: one engine may be too few for it. */
    private static final int POPULAR_REQUESTS = 3;
    /** Time after the last report of a peer out of touch after which its requests have ended, ms. */
    static final long LONGEST_REQUEST_MS = 60_000;

    private final Scheduler scheduler;
    private final Map<String, Map<AdapterRef, Integer>> ownCounts = new HashMap<>();
    private final Map<String, PeerUsage> usageByPeer = new HashMap<>();
    /** Last reports of peers out of touch; their requests may go on. */
    private final Map<String, PeerUsage> unconfirmedByPeer = new HashMap<>();
    /** Requests of peers for each adapter, by engine; sums of {@link #usageByPeer}. */
    private final Map<String, Map<AdapterRef, Integer>> peerCounts = new HashMap<>();
    /** Requests for each adapter on all engines, of this node and of its peers. */
    private final Map<AdapterRef, Integer> totals = new HashMap<>();

    /** Requests for each popular adapter on all engines, as a hub reported. */
    private Map<AdapterRef, Integer> reportedRequests = Map.of();

    private Map<String, Integer> reportedCounts = Map.of();
    /** Last use by a request of this node, or by one of a peer that has ended. */
    private final Map<String, Map<AdapterRef, Long>> lastUsed = new HashMap<>();

    public AdapterUsage(Scheduler scheduler) {
        this.scheduler = scheduler;
    }

    /** Counts a request that was sent to an engine. */
    public void requestStarted(String engine, AdapterRef ref) {
        ownCounts.computeIfAbsent(engine, e -> new HashMap<>()).merge(ref, 1, Integer::sum);
        totals.merge(ref, 1, Integer::sum);
        markUsed(engine, ref);
    }

    /** Removes a request that has ended. */
    public void requestEnded(String engine, AdapterRef ref) {
        Map<AdapterRef, Integer> m = ownCounts.get(engine);
        if (m == null) {
            return;
        }
        if (m.containsKey(ref)) {
            removeOne(m, ref);
            removeOne(totals, ref);
        }
        if (m.isEmpty()) {
            ownCounts.remove(engine);
        }
        markUsed(engine, ref);
    }

    /** Replaces the adapters in use, by engine and once for each request, that a peer last reported. */
    public void updatePeer(String peer, Map<String, List<AdapterRef>> inUse) {
        PeerUsage known = usageByPeer.getOrDefault(peer, PeerUsage.NONE);
        usageByPeer.put(peer, new PeerUsage(inUse, scheduler.nanoTime()));
        unconfirmedByPeer.remove(peer);
        inUse.forEach((engine, refs) -> {
            List<AdapterRef> knownRefs = known.refs(engine);
            if (!refs.equals(knownRefs)) {
                remove(engine, knownRefs, known.reportedNanos);
                add(engine, refs);
            }
        });
        known.inUse.forEach((engine, refs) -> {
            if (!inUse.containsKey(engine)) {
                remove(engine, refs, known.reportedNanos);
            }
        });
    }

    /**
     * Removes a peer that is out of touch; until it reports again, its requests are {@link #mayBeInUse unconfirmed}.
     */
    public void removePeer(String peer) {
        PeerUsage known = usageByPeer.remove(peer);
        if (known != null) {
            known.inUse.forEach((engine, refs) -> remove(engine, refs, known.reportedNanos));
            unconfirmedByPeer.put(peer, known);
        }
        long oldest = scheduler.nanoTime() - LONGEST_REQUEST_MS * 1_000_000;
        unconfirmedByPeer.values().removeIf(u -> u.reportedNanos < oldest);
    }

    private void add(String engine, List<AdapterRef> refs) {
        Map<AdapterRef, Integer> counts = peerCounts.computeIfAbsent(engine, e -> new HashMap<>());
        refs.forEach(r -> {
            counts.merge(r, 1, Integer::sum);
            totals.merge(r, 1, Integer::sum);
        });
    }

    private void remove(String engine, List<AdapterRef> refs, long usedNanos) {
        refs.forEach(r -> {
            lastUsed.computeIfAbsent(engine, e -> new HashMap<>()).merge(r, usedNanos, Math::max);
            removeOne(peerCounts.get(engine), r);
            removeOne(totals, r);
        });
    }

    private static void removeOne(Map<AdapterRef, Integer> counts, AdapterRef ref) {
        counts.computeIfPresent(ref, (r, n) -> n == 1 ? null : n - 1);
    }

    /**
     * Replaces what a hub reported instead of the adapters in use themselves.
     *
     * @param counts number of adapters in use by engine
     * @param popular {@link #popular} adapters, once for each {@link #POPULAR_REQUESTS} requests
     */
    public void updateReported(Map<String, Integer> counts, Collection<AdapterRef> popular) {
        reportedCounts = Map.copyOf(counts);
        Map<AdapterRef, Integer> requests = new HashMap<>();
        popular.forEach(r -> requests.merge(r, POPULAR_REQUESTS, Integer::sum));
        reportedRequests = requests;
    }

    /**
     * Requests of all nodes together that use the adapter; from a hub's report a multiple of {@link #POPULAR_REQUESTS}.
     */
    public int requestsInProgress(AdapterRef ref) {
        return Math.max(totals.getOrDefault(ref, 0), reportedRequests.getOrDefault(ref, 0));
    }

    /** Whether at least {@link #POPULAR_REQUESTS} requests of all nodes together use the adapter. */
    public boolean isPopular(AdapterRef ref) {
        return requestsInProgress(ref) >= POPULAR_REQUESTS;
    }

    /**
     * Adapters that many requests of all nodes together use at this moment, on whatever engines; listed once for each
     * {@link #POPULAR_REQUESTS} requests, so that nodes that report to this hub know the demand.
     */
    public List<AdapterRef> popular() {
        List<AdapterRef> popular = new ArrayList<>();
        totals.forEach((ref, n) -> popular.addAll(Collections.nCopies(n / POPULAR_REQUESTS, ref)));
        return popular;
    }

    /** Removes the last-use times of an engine. */
    public void removeEngine(String engine) {
        lastUsed.remove(engine);
    }

    /** Whether a request of this node or of a peer uses the adapter on the engine. */
    public boolean inUse(String engine, AdapterRef ref) {
        return ownCounts.getOrDefault(engine, Map.of()).containsKey(ref)
                || peerCounts.getOrDefault(engine, Map.of()).containsKey(ref);
    }

    /** Whether a peer that is out of touch may still use the adapter on the engine. */
    public boolean mayBeInUse(String engine, AdapterRef ref) {
        long oldest = scheduler.nanoTime() - LONGEST_REQUEST_MS * 1_000_000;
        return unconfirmedByPeer.values().stream()
                .anyMatch(u -> u.reportedNanos >= oldest && u.refs(engine).contains(ref));
    }

    /** Number of distinct adapters in use on an engine; requests to the base model count as one adapter. */
    public int inUseCount(String engine) {
        Map<AdapterRef, Integer> byPeers = peerCounts.getOrDefault(engine, Map.of());
        int ownOnly = 0;
        for (AdapterRef r : ownCounts.getOrDefault(engine, Map.of()).keySet()) {
            ownOnly += byPeers.containsKey(r) ? 0 : 1;
        }
        return Math.max(byPeers.size() + ownOnly, reportedCounts.getOrDefault(engine, 0));
    }

    /** {@link #inUseCount} of every engine with adapters in use, as reported to nodes that report to this hub. */
    public Map<String, Integer> inUseCounts() {
        Set<String> engines = new HashSet<>(ownCounts.keySet());
        engines.addAll(peerCounts.keySet());
        Map<String, Integer> counts = new HashMap<>();
        engines.forEach(e -> counts.put(e, inUseCount(e)));
        return counts;
    }

    /**
     * When a request last used the adapter on the engine, on the scheduler's clock; {@link Long#MIN_VALUE} if never.
     */
    public long lastUsedNanos(String engine, AdapterRef ref) {
        long used = lastUsed.getOrDefault(engine, Map.of()).getOrDefault(ref, Long.MIN_VALUE);
        if (peerCounts.getOrDefault(engine, Map.of()).containsKey(ref)) {
            for (PeerUsage u : usageByPeer.values()) {
                used = u.reportedNanos > used && u.refs(engine).contains(ref) ? u.reportedNanos : used;
            }
        }
        return used;
    }

    /** Adapters that this node's own requests and those of some peers use, by engine and once for each request. */
    public Map<String, List<AdapterRef>> inUseBy(Collection<String> peers) {
        Map<String, List<AdapterRef>> all = new HashMap<>();
        ownCounts.forEach((engine, m) -> m.forEach(
                (ref, n) -> all.computeIfAbsent(engine, e -> new ArrayList<>()).addAll(Collections.nCopies(n, ref))));
        for (String peer : peers) {
            usageByPeer.getOrDefault(peer, PeerUsage.NONE).inUse.forEach((engine, refs) -> all.computeIfAbsent(
                            engine, e -> new ArrayList<>())
                    .addAll(refs));
        }
        return all;
    }

    /** Records the present as the last use of the adapter on the engine. */
    public void markUsed(String engine, AdapterRef ref) {
        lastUsed.computeIfAbsent(engine, e -> new HashMap<>()).put(ref, scheduler.nanoTime());
    }

    /** Adapters in use by engine, as a peer reported them at {@code reportedNanos}. */
    private record PeerUsage(Map<String, List<AdapterRef>> inUse, long reportedNanos) {
        static final PeerUsage NONE = new PeerUsage(Map.of(), Long.MIN_VALUE);

        List<AdapterRef> refs(String engine) {
            return inUse.getOrDefault(engine, List.of());
        }
    }
}
