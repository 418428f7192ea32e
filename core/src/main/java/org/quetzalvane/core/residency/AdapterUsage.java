package org.quetzalvane.core.residency;

import java.util.HashMap;
import java.util.HashSet;
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
    private final Scheduler scheduler;
    private final Map<String, Map<AdapterRef, Integer>> ownCounts = new HashMap<>();
    private final Map<String, Map<String, Set<AdapterRef>>> usageByPeer = new HashMap<>();
    private final Map<String, Map<AdapterRef, Long>> lastUsed = new HashMap<>();

    public AdapterUsage(Scheduler scheduler) {
        this.scheduler = scheduler;
    }

    /** Counts a request that was sent to an engine. */
    public void requestStarted(String engine, AdapterRef ref) {
        ownCounts.computeIfAbsent(engine, e -> new HashMap<>()).merge(ref, 1, Integer::sum);
        markUsed(engine, ref);
    }

    /** Removes a request that has ended. */
    public void requestEnded(String engine, AdapterRef ref) {
        Map<AdapterRef, Integer> m = ownCounts.get(engine);
        if (m == null) {
            return;
        }
        m.computeIfPresent(ref, (r, n) -> n == 1 ? null : n - 1);
        if (m.isEmpty()) {
            ownCounts.remove(engine);
        }
        markUsed(engine, ref);
    }

    /** Replaces the adapters in use, by engine, that a peer last reported. */
    public void updatePeer(String peer, Map<String, Set<AdapterRef>> inUse) {
        usageByPeer.put(peer, inUse);
        inUse.forEach((engine, refs) -> refs.forEach(r -> markUsed(engine, r)));
    }

    /** Removes a peer that is no longer up. */
    public void removePeer(String peer) {
        usageByPeer.remove(peer);
    }

    /** Removes the last-use times of an engine. */
    public void removeEngine(String engine) {
        lastUsed.remove(engine);
    }

    /** Whether a request of this node or of a peer uses the adapter on the engine. */
    public boolean inUse(String engine, AdapterRef ref) {
        if (ownCounts.getOrDefault(engine, Map.of()).containsKey(ref)) {
            return true;
        }
        return usageByPeer.values().stream()
                .anyMatch(m -> m.getOrDefault(engine, Set.of()).contains(ref));
    }

    /** Number of distinct adapters in use on an engine; requests to the base model count as one adapter. */
    public int inUseCount(String engine) {
        Set<AdapterRef> all =
                new HashSet<>(ownCounts.getOrDefault(engine, Map.of()).keySet());
        usageByPeer.values().forEach(m -> all.addAll(m.getOrDefault(engine, Set.of())));
        return all.size();
    }

    /**
     * When a request last used the adapter on the engine, on the scheduler's clock; {@link Long#MIN_VALUE} if never.
     */
    public long lastUsedNanos(String engine, AdapterRef ref) {
        return lastUsed.getOrDefault(engine, Map.of()).getOrDefault(ref, Long.MIN_VALUE);
    }

    /** Adapters that this node's own requests use, by engine, as reported to peers. */
    public Map<String, Set<AdapterRef>> own() {
        Map<String, Set<AdapterRef>> copy = new HashMap<>();
        ownCounts.forEach((engine, m) -> copy.put(engine, Set.copyOf(m.keySet())));
        return copy;
    }

    /** Records the present as the last use of the adapter on the engine. */
    public void markUsed(String engine, AdapterRef ref) {
        lastUsed.computeIfAbsent(engine, e -> new HashMap<>()).put(ref, scheduler.nanoTime());
    }
}
