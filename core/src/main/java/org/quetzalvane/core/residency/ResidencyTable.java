package org.quetzalvane.core.residency;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import org.quetzalvane.core.fleet.Endpoint;
import org.quetzalvane.core.routes.AdapterRef;
import org.quetzalvane.core.time.Scheduler;

/**
 * This node's known state of the adapters resident on each engine: as reported by the engine's owner while that report
 * is valid, otherwise as in the engine's list entry. For some time after an owner has stated that it does not reach its
 * engine, nothing can be loaded there, while this node may well reach what is resident.
 *
 * <p>Confined to the event loop.
 */
public final class ResidencyTable {
    /**
     * Age from which an owner's report is not used, ms. Must exceed the time until another node is assigned the
     * partition and may send orders: the TTL of the assignment group (2 s) and one lease. The engine's list entry, used
     * then, lags by seconds, because loading an adapter writes no entry.
     */
    private static final long REPORT_VALIDITY_MS = 6_000;

    /** Time for which an engine takes no loads after its owner did not reach it, ms; doubled for each further time. */
    static final long FIRST_PAUSE_MS = 1_000;
    /** Longest such time, ms: a third of the 12 s within which a recovered endpoint must be used again. */
    static final long MAX_PAUSE_MS = 4_000;

    private final Scheduler scheduler;
    /** Pauses of loads by engine. */
    private final Map<String, LoadPause> loadPauses = new HashMap<>();

    private final Map<String, ReportedResidency> reported = new HashMap<>();
    private final Map<String, ResidencyHistory> history = new HashMap<>();

    public ResidencyTable(Scheduler scheduler) {
        this.scheduler = scheduler;
    }

    /** Applies a report of the engine's owner, unless it is older than the known one. */
    public void update(String engine, EngineResidency residency) {
        ReportedResidency before = reported.get(engine);
        boolean older = before != null
                && (residency.bornMs() < before.residency.bornMs()
                        || residency.bornMs() == before.residency.bornMs()
                                && residency.orders() < before.residency.orders());
        if (!older) {
            reported.put(engine, new ReportedResidency(residency, scheduler.nanoTime()));
            if (before == null || !residency.equals(before.residency)) {
                addToHistory(engine, residency);
            }
        }
    }

    /** Records that the owner of an engine does not reach it, so that nothing can be loaded there for a while. */
    public void recordUnreachableByOwner(Endpoint e) {
        LoadPause before = loadPauses.get(e.id());
        if (before != null && before.bornMs == e.bornMs() && before.untilNanos > scheduler.nanoTime()) {
            return;
        }
        long ms = before == null || before.bornMs != e.bornMs()
                ? FIRST_PAUSE_MS
                : Math.min(MAX_PAUSE_MS, 2 * before.durationMs);
        loadPauses.put(e.id(), new LoadPause(e.bornMs(), ms, scheduler.nanoTime() + ms * 1_000_000));
    }

    /** Records that the owner of an engine had an adapter loaded there. */
    public void recordLoaded(Endpoint e) {
        loadPauses.remove(e.id());
    }

    /** Whether the owner of an engine may reach it, as far as is known here. */
    public boolean takesLoads(Endpoint e) {
        LoadPause pause = loadPauses.get(e.id());
        return pause == null || pause.bornMs != e.bornMs() || pause.untilNanos <= scheduler.nanoTime();
    }

    /**
     * Whether the adapter was resident on this instance of the engine, which then most likely still has it in memory.
     */
    public boolean wasResident(Endpoint e, AdapterRef ref) {
        ResidencyHistory h = history.get(e.id());
        return h != null && h.bornMs == e.bornMs() && h.adapters.contains(ref);
    }

    private void addToHistory(String engine, EngineResidency residency) {
        ResidencyHistory h = history.get(engine);
        if (h == null || h.bornMs != residency.bornMs()) {
            h = new ResidencyHistory(residency.bornMs(), new HashSet<>());
            history.put(engine, h);
        }
        for (Map.Entry<String, Map<String, Integer>> m : residency.held().entrySet()) {
            for (String a : m.getValue().keySet()) {
                h.adapters.add(new AdapterRef(m.getKey(), a));
            }
        }
    }

    /**
     * Removes the adapter from the last report of the owner until the next report, because an engine refused a request
     * for it; no effect if the known state comes from the list entry.
     */
    public void recordAbsent(Endpoint e, AdapterRef ref) {
        ReportedResidency r = reported.get(e.id());
        if (r == null || r.residency.bornMs() != e.bornMs()) {
            return;
        }
        Map<String, Map<String, Integer>> held = new HashMap<>(r.residency.held());
        Map<String, Integer> adapters = new HashMap<>(held.getOrDefault(ref.model(), Map.of()));
        adapters.remove(ref.adapter());
        held.put(ref.model(), adapters);
        reported.put(
                e.id(),
                new ReportedResidency(new EngineResidency(e.bornMs(), r.residency.orders(), held), r.receivedNanos));
    }

    /**
     * Adapters resident on the engine: as its owner last reported if that report is valid, otherwise as in the engine's
     * list entry.
     */
    public EngineResidency residencyOf(Endpoint e) {
        ReportedResidency r = reported.get(e.id());
        boolean valid = r != null && r.residency.bornMs() == e.bornMs() && ageMs(r) < REPORT_VALIDITY_MS;
        return valid ? r.residency : new EngineResidency(e.bornMs(), 0, e.held());
    }

    /** Reports of owners that arrived within {@code maxAgeMs}, by engine, for the nodes that report to this hub. */
    public Map<String, EngineResidency> reportsWithin(long maxAgeMs) {
        Map<String, EngineResidency> fresh = new HashMap<>();
        reported.forEach((engine, r) -> {
            if (ageMs(r) <= maxAgeMs) {
                fresh.put(engine, r.residency);
            }
        });
        return fresh;
    }

    private long ageMs(ReportedResidency r) {
        return (scheduler.nanoTime() - r.receivedNanos) / 1_000_000;
    }

    private record LoadPause(long bornMs, long durationMs, long untilNanos) {}

    private record ResidencyHistory(long bornMs, Set<AdapterRef> adapters) {}

    private record ReportedResidency(EngineResidency residency, long receivedNanos) {}
}
