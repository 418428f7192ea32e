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
 * is valid, otherwise as in the engine's list entry.
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

    private final Scheduler scheduler;
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

    private record ResidencyHistory(long bornMs, Set<AdapterRef> adapters) {}

    private record ReportedResidency(EngineResidency residency, long receivedNanos) {}
}
