package org.quetzalvane.core.residency;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

import org.quetzalvane.core.routes.AdapterRef;
import org.quetzalvane.core.routes.RequiredVersions;
import org.quetzalvane.core.time.Scheduler;

/**
 * Adapter slots of one engine as its owner knows them: resident, loading and unloading.
 *
 * <p>An adapter keeps its slot while it loads, until the estimated end of the load or a report, and while its unload
 * waits for running requests, see {@link WaitingUnload}. Confined to the event loop.
 */
final class AdapterSlotTable {
    /**
     * Time after which a load known only from a report is overdue and the report is read again, ms: four times the
     * published duration of a load, 250 ms.
     */
    private static final long LOAD_TIMEOUT_MS = 1_000;
    /** Version of a load that is known only from the engine's report. */
    private static final int UNKNOWN_VERSION = -1;
    /**
     * Time without use before an adapter may be evicted, ms: one interval between the status messages of peers (300),
     * the time for which nodes send requests without confirming residency (100), and 50 for the network. A request of a
     * node that reports to another hub becomes known up to two intervals later; the engine then delays the unload.
     */
    static final long MIN_EVICTION_IDLE_MS = 450;

    private final Scheduler scheduler;
    private final AdapterUsage adapterUsage;
    private final LoadTimeEstimator loadTimes;
    private final String engine;
    private final Map<String, Map<String, Integer>> residentVersions = new HashMap<>();
    private final Map<AdapterRef, PendingLoad> loading = new HashMap<>();
    private final Map<AdapterRef, WaitingUnload> unloading = new HashMap<>();

    /**
     * A load that was accepted or is listed in a report.
     *
     * @param version adapter version, or {@link #UNKNOWN_VERSION}
     * @param sinceNanos time at which the load was accepted or first reported, on the scheduler's clock
     */
    record PendingLoad(int version, long sinceNanos) {}

    /**
     * Number of slots by state. Immutable.
     *
     * @param inUse resident adapters in use
     * @param recent idle adapters that were used too recently to be evicted
     * @param idle idle adapters that may be evicted
     * @param loading adapters being loaded
     * @param unloading unloads that wait for running requests
     */
    record Occupancy(int inUse, int recent, int idle, int loading, int unloading) {
        @Override
        public String toString() {
            return "in_use " + inUse + " recent " + recent + " idle " + idle + " loading " + loading + " vacating "
                    + unloading;
        }
    }

    AdapterSlotTable(Scheduler scheduler, AdapterUsage adapterUsage, LoadTimeEstimator loadTimes, String engine) {
        this.scheduler = scheduler;
        this.adapterUsage = adapterUsage;
        this.loadTimes = loadTimes;
        this.engine = engine;
    }

    /**
     * Replaces the known state by an engine's report, which is up to {@link EngineController#REPORT_DELAY_MS} old:
     * accepted loads are kept; an adapter that the report lists as being loaded and that is known as resident stays
     * resident; one whose unload waits is not resident, though it may be listed; all else is replaced.
     */
    void applyReport(EngineOrders.Report r) {
        Map<String, Map<String, Integer>> before = residentVersions();
        residentVersions.clear();
        r.held().forEach((m, a) -> residentVersions.put(m, new HashMap<>(a)));
        loading.values().removeIf(l -> l.version() < 0);
        long now = scheduler.nanoTime();
        for (AdapterRef ref : r.pending()) {
            Integer version = before.getOrDefault(ref.model(), Map.of()).get(ref.adapter());
            if (version != null && residentVersions.containsKey(ref.model())) {
                adapters(ref.model()).put(ref.adapter(), version);
            } else {
                loading.putIfAbsent(ref, new PendingLoad(UNKNOWN_VERSION, now));
            }
        }
        unloading.entrySet().removeIf(u -> u.getValue().endsBy(r, isAnyVersionResident(u.getKey())));
        unloading.keySet().forEach(this::remove);
    }

    /** Whether no base model is resident. */
    boolean hasNoModel() {
        return residentVersions.isEmpty();
    }

    boolean isModelResident(String model) {
        return residentVersions.containsKey(model);
    }

    /** Whether the version of the adapter is resident, or any version for {@link RequiredVersions#ANY_VERSION}. */
    boolean isResident(AdapterRef ref, int version) {
        Integer v = adapters(ref.model()).get(ref.adapter());
        return v != null && (version == RequiredVersions.ANY_VERSION || version == v);
    }

    boolean isAnyVersionResident(AdapterRef ref) {
        return adapters(ref.model()).containsKey(ref.adapter());
    }

    /** The load of the adapter, or null if the adapter is not being loaded. */
    PendingLoad loading(AdapterRef ref) {
        return loading.get(ref);
    }

    int loadingCount() {
        return loading.size();
    }

    boolean isUnloading(AdapterRef ref) {
        return unloading.containsKey(ref);
    }

    /** Records an accepted load; a resident version of the adapter is no longer served. */
    PendingLoad startLoading(AdapterRef ref, int version) {
        adapters(ref.model()).remove(ref.adapter());
        PendingLoad l = new PendingLoad(version, scheduler.nanoTime());
        loading.put(ref, l);
        return l;
    }

    /** Records that the load of an adapter that counted as resident has not ended. */
    PendingLoad resumeLoading(AdapterRef ref) {
        return startLoading(ref, adapters(ref.model()).get(ref.adapter()));
    }

    void stopLoading(AdapterRef ref) {
        loading.remove(ref);
    }

    /**
     * Records that a version of the adapter is resident; it may be evicted only after {@link #MIN_EVICTION_IDLE_MS}.
     */
    void markResident(AdapterRef ref, int version) {
        adapters(ref.model()).put(ref.adapter(), version);
        loadTimes.recordLoaded(engine, ref);
    }

    /** Ends the adapter's residency; its slot stays taken while its running requests continue. */
    void startUnloading(AdapterRef ref) {
        unloading.put(ref, new WaitingUnload(scheduler));
        remove(ref);
    }

    void remove(AdapterRef ref) {
        adapters(ref.model()).remove(ref.adapter());
    }

    /** Whether the report must be read for a load known only from a report, or for an unload that waits. */
    boolean isReportDue() {
        long overdue = scheduler.nanoTime() - LOAD_TIMEOUT_MS * 1_000_000;
        return loading.values().stream().anyMatch(l -> l.version() < 0 && l.sinceNanos() < overdue)
                || unloading.values().stream().anyMatch(WaitingUnload::isCheckDue);
    }

    /** Number of slots taken, including those of adapters that are loading or unloading. */
    int takenCount() {
        Set<AdapterRef> all = new HashSet<>(loading.keySet());
        all.addAll(unloading.keySet());
        all.addAll(residentAdapters());
        return all.size();
    }

    Occupancy occupancy() {
        int inUse = 0;
        int recent = 0;
        int idle = 0;
        for (AdapterRef ref : residentAdapters()) {
            if (adapterUsage.inUse(engine, ref)) {
                inUse++;
            } else if (usedNanos(ref) > newestEvictableNanos()) {
                recent++;
            } else {
                idle++;
            }
        }
        return new Occupancy(inUse, recent, idle, loading.size(), unloading.size());
    }

    /**
     * The idle adapter with the least recent use, or null if no adapter may be evicted. Adapters that nodes out of
     * touch may use come last, and only while few unloads wait: an engine delays their unload until their requests end.
     *
     * @param requested adapters that load requests wait for, which are not evicted
     */
    AdapterRef leastRecentlyUsed(Predicate<AdapterRef> requested) {
        boolean fewUnloadsWait = unloading.size() < EngineController.MAX_CONCURRENT_LOADS;
        return residentAdapters().stream()
                .filter(ref -> !adapterUsage.inUse(engine, ref)
                        && !requested.test(ref)
                        && usedNanos(ref) <= newestEvictableNanos()
                        && (fewUnloadsWait || !adapterUsage.mayBeInUse(engine, ref)))
                .min(Comparator.comparing((AdapterRef ref) -> adapterUsage.mayBeInUse(engine, ref))
                        .thenComparingLong(this::usedNanos))
                .orElse(null);
    }

    /** Copy of the resident versions, by base model and adapter. */
    Map<String, Map<String, Integer>> residentVersions() {
        Map<String, Map<String, Integer>> copy = new HashMap<>();
        residentVersions.forEach((m, a) -> copy.put(m, Map.copyOf(a)));
        return copy;
    }

    private List<AdapterRef> residentAdapters() {
        return residentVersions.entrySet().stream()
                .flatMap(m -> m.getValue().keySet().stream().map(a -> new AdapterRef(m.getKey(), a)))
                .toList();
    }

    private long usedNanos(AdapterRef ref) {
        return Math.max(adapterUsage.lastUsedNanos(engine, ref), loadTimes.lastLoadedNanos(engine, ref));
    }

    private long newestEvictableNanos() {
        return scheduler.nanoTime() - MIN_EVICTION_IDLE_MS * 1_000_000;
    }

    private Map<String, Integer> adapters(String model) {
        Map<String, Integer> a = residentVersions.get(model);
        return a == null ? Map.of() : a;
    }
}
