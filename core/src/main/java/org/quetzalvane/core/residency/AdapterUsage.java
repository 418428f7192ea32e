package org.quetzalvane.core.residency;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import org.quetzalvane.core.routes.AdapterRef;
import org.quetzalvane.core.time.Scheduler;

/**
 * Which adapters requests run on at each engine: this node's own exactly, its peers' as last reported.
 *
 * <p>Confined to the event loop.
 */
public final class AdapterUsage {
    private final Scheduler scheduler;
    private final Map<String, Map<AdapterRef, Integer>> own = new HashMap<>();
    private final Map<String, Map<String, Set<AdapterRef>>> peers = new HashMap<>();
    private final Map<String, Map<AdapterRef, Long>> lastUsed = new HashMap<>();

    public AdapterUsage(Scheduler scheduler) {
        this.scheduler = scheduler;
    }

    /** Counts a request that was sent. */
    public void requestStarted(String engine, AdapterRef ref) {
        own.computeIfAbsent(engine, e -> new HashMap<>()).merge(ref, 1, Integer::sum);
        markUsed(engine, ref);
    }

    /** Counts the end of a request. */
    public void requestEnded(String engine, AdapterRef ref) {
        Map<AdapterRef, Integer> m = own.get(engine);
        if (m == null) {
            return;
        }
        m.computeIfPresent(ref, (r, n) -> n == 1 ? null : n - 1);
        if (m.isEmpty()) {
            own.remove(engine);
        }
        markUsed(engine, ref);
    }

    /** Takes a peer's report of the adapters in use, by engine, in place of the one before. */
    public void updatePeer(String peer, Map<String, Set<AdapterRef>> inUse) {
        peers.put(peer, inUse);
        inUse.forEach((engine, refs) -> refs.forEach(r -> markUsed(engine, r)));
    }

    /** Drops a peer that is no longer heard of. */
    public void removePeer(String peer) {
        peers.remove(peer);
    }

    /** Drops all memory of an engine that is gone. */
    public void removeEngine(String engine) {
        lastUsed.remove(engine);
    }

    /** Whether a request of this node or of a peer runs on the adapter there. */
    public boolean inUse(String engine, AdapterRef ref) {
        if (own.getOrDefault(engine, Map.of()).containsKey(ref)) {
            return true;
        }
        return peers.values().stream()
                .anyMatch(m -> m.getOrDefault(engine, Set.of()).contains(ref));
    }

    /** Number of different adapters that requests run on at an engine. */
    public int inUseCount(String engine) {
        Set<AdapterRef> all = new HashSet<>(own.getOrDefault(engine, Map.of()).keySet());
        peers.values().forEach(m -> all.addAll(m.getOrDefault(engine, Set.of())));
        return all.size();
    }

    /** When a request last used the adapter there, on the scheduler's clock; {@link Long#MIN_VALUE} if never. */
    public long lastUsedNanos(String engine, AdapterRef ref) {
        return lastUsed.getOrDefault(engine, Map.of()).getOrDefault(ref, Long.MIN_VALUE);
    }

    /** This node's own use, as reported to peers. */
    public Map<String, Set<AdapterRef>> own() {
        Map<String, Set<AdapterRef>> copy = new HashMap<>();
        own.forEach((engine, m) -> copy.put(engine, Set.copyOf(m.keySet())));
        return copy;
    }

    /** Takes note that a request is about to use the adapter. */
    public void markUsed(String engine, AdapterRef ref) {
        lastUsed.computeIfAbsent(engine, e -> new HashMap<>()).put(ref, scheduler.nanoTime());
    }
}
