package org.quetzalvane.core.residency;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

import org.quetzalvane.core.routes.AdapterRef;
import org.quetzalvane.core.time.Scheduler;

/**
 * The places for adapters at one engine as its duty holder knows them: held, on their way, and being vacated.
 *
 * <p>Invariant: an adapter on its way or being vacated keeps its place until that is known to be over. Confined to the
 * event loop.
 */
final class PlaceTable {
    /** Time for which the place of an unload that waits for runs stays taken, ms; the longest runs last as long. */
    static final long VACATING_MS = 10_000;
    /**
     * Unused time before an adapter may be evicted, ms: a report of the peers, and the time for which they send without
     * asking.
     */
    static final long EVICTION_AGE_MS = 450;

    private final Scheduler scheduler;
    private final AdapterUsage use;
    private final LoadTimeEstimator times;
    private final String engine;
    private final Map<String, Map<String, Integer>> held = new HashMap<>();
    private final Map<AdapterRef, Loading> loading = new HashMap<>();
    private final Map<AdapterRef, Long> vacating = new HashMap<>();

    /**
     * A load that was accepted.
     *
     * @param version adapter version, or below zero where only the engine's report told of it
     * @param sinceNanos when it began, on the scheduler's clock
     */
    record Loading(int version, long sinceNanos) {}

    /**
     * How the places are taken. Immutable.
     *
     * @param inUse by adapters that requests run on
     * @param recent by idle ones that are too young to be evicted
     * @param idle by idle ones that may be evicted
     * @param loading by adapters on their way
     * @param vacating by unloads that wait for runs
     */
    record Taken(int inUse, int recent, int idle, int loading, int vacating) {
        @Override
        public String toString() {
            return "in_use " + inUse + " recent " + recent + " idle " + idle + " loading " + loading + " vacating "
                    + vacating;
        }
    }

    PlaceTable(Scheduler scheduler, AdapterUsage use, LoadTimeEstimator times, String engine) {
        this.scheduler = scheduler;
        this.use = use;
        this.times = times;
        this.engine = engine;
    }

    /**
     * Takes the engine's own word in place of what was known. It is some hundred milliseconds old: loads that were
     * accepted or ended since keep what is known of them.
     */
    void reported(EngineOrders.Report r) {
        Map<String, Map<String, Integer>> before = held();
        held.clear();
        r.held().forEach((m, a) -> held.put(m, new HashMap<>(a)));
        loading.values().removeIf(l -> l.version() < 0);
        long now = scheduler.nanoTime();
        for (AdapterRef ref : r.pending()) {
            Integer ended = before.getOrDefault(ref.model(), Map.of()).get(ref.adapter());
            if (ended != null && held.containsKey(ref.model())) {
                adapters(ref.model()).put(ref.adapter(), ended);
            } else {
                loading.putIfAbsent(ref, new Loading(-1, now));
            }
        }
    }

    boolean isEmpty() {
        return held.isEmpty();
    }

    boolean hasModel(String model) {
        return held.containsKey(model);
    }

    boolean holds(AdapterRef ref, int version) {
        Integer v = adapters(ref.model()).get(ref.adapter());
        return v != null && (version == 0 || version == v);
    }

    /** Whether some version of the adapter is held. */
    boolean holdsAny(AdapterRef ref) {
        return adapters(ref.model()).containsKey(ref.adapter());
    }

    Loading loading(AdapterRef ref) {
        return loading.get(ref);
    }

    int loadingCount() {
        return loading.size();
    }

    boolean isVacating(AdapterRef ref) {
        return vacating.containsKey(ref);
    }

    Loading startLoading(AdapterRef ref, int version) {
        adapters(ref.model()).remove(ref.adapter());
        Loading l = new Loading(version, scheduler.nanoTime());
        loading.put(ref, l);
        return l;
    }

    void stopLoading(AdapterRef ref) {
        loading.remove(ref);
    }

    void resident(AdapterRef ref, int version) {
        adapters(ref.model()).put(ref.adapter(), version);
        times.loaded(engine, ref);
    }

    /** The adapter takes no more requests; its place stays taken while its runs go on. */
    void vacate(AdapterRef ref) {
        vacating.put(ref, scheduler.nanoTime() + VACATING_MS * 1_000_000);
        drop(ref);
    }

    void drop(AdapterRef ref) {
        adapters(ref.model()).remove(ref.adapter());
    }

    /** Whether a load known from a report alone has taken longer than any should. */
    boolean hasOverdueLoad(long limitMs) {
        long now = scheduler.nanoTime();
        return loading.values().stream().anyMatch(l -> l.version() < 0 && now - l.sinceNanos() > limitMs * 1_000_000);
    }

    /** Places taken, those of adapters on their way included. */
    int count() {
        Set<AdapterRef> all = new HashSet<>(loading.keySet());
        vacating.values().removeIf(until -> until <= scheduler.nanoTime());
        all.addAll(vacating.keySet());
        all.addAll(heldRefs());
        return all.size();
    }

    Taken taken() {
        int inUse = 0;
        int recent = 0;
        int idle = 0;
        for (AdapterRef ref : heldRefs()) {
            if (use.inUse(engine, ref)) {
                inUse++;
            } else if (usedNanos(ref) > newestEvictable()) {
                recent++;
            } else {
                idle++;
            }
        }
        return new Taken(inUse, recent, idle, loading.size(), vacating.size());
    }

    /** The idle adapter that was used longest ago, or null when none may be evicted. */
    AdapterRef leastRecentlyUsed(Predicate<AdapterRef> wanted) {
        AdapterRef found = null;
        long oldest = Long.MAX_VALUE;
        for (AdapterRef ref : heldRefs()) {
            long used = usedNanos(ref);
            boolean evictable = !vacating.containsKey(ref)
                    && !use.inUse(engine, ref)
                    && !wanted.test(ref)
                    && used <= newestEvictable();
            if (evictable && used < oldest) {
                oldest = used;
                found = ref;
            }
        }
        return found;
    }

    /** Copy of what is held: versions by adapter by model. */
    Map<String, Map<String, Integer>> held() {
        Map<String, Map<String, Integer>> copy = new HashMap<>();
        held.forEach((m, a) -> copy.put(m, Map.copyOf(a)));
        return copy;
    }

    private List<AdapterRef> heldRefs() {
        return held.entrySet().stream()
                .flatMap(m -> m.getValue().keySet().stream().map(a -> new AdapterRef(m.getKey(), a)))
                .toList();
    }

    private long usedNanos(AdapterRef ref) {
        return Math.max(use.lastUsedNanos(engine, ref), times.loadedNanos(engine, ref));
    }

    private long newestEvictable() {
        return scheduler.nanoTime() - EVICTION_AGE_MS * 1_000_000;
    }

    private Map<String, Integer> adapters(String model) {
        Map<String, Integer> a = held.get(model);
        return a == null ? Map.of() : a;
    }
}
