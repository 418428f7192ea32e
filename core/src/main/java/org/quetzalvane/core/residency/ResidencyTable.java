package org.quetzalvane.core.residency;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import org.quetzalvane.core.fleet.Endpoint;
import org.quetzalvane.core.routes.AdapterRef;
import org.quetzalvane.core.time.Scheduler;

/**
 * This node's belief of what every engine holds: the duty holder's word while it is fresh, else the engine's entry.
 *
 * <p>Confined to the event loop.
 */
public final class ResidencyTable {
    /**
     * A duty holder's word is preferred this long, ms: until another node is dealt the duty and may give orders, 2 s of
     * silence and a lease; the engine's entry lags behind by seconds, as no entry is written for an adapter.
     */
    private static final long FRESH_MS = 6_000;

    private final Scheduler scheduler;
    private final Map<String, Told> told = new HashMap<>();
    private final Map<String, Seen> seen = new HashMap<>();

    public ResidencyTable(Scheduler scheduler) {
        this.scheduler = scheduler;
    }

    /** Takes what the engine's duty holder says. */
    public void update(String engine, EngineResidency holding) {
        Told before = told.get(engine);
        boolean older = before != null
                && (holding.bornMs() < before.holding.bornMs()
                        || holding.bornMs() == before.holding.bornMs() && holding.orders() < before.holding.orders());
        if (!older) {
            told.put(engine, new Told(holding, scheduler.nanoTime()));
            remember(engine, holding);
        }
    }

    /** Whether this life of the engine is known to have held the adapter, which then is likely in its memory. */
    public boolean wasResident(Endpoint e, AdapterRef ref) {
        Seen s = seen.get(e.id());
        return s != null && s.bornMs == e.bornMs() && s.adapters.contains(ref);
    }

    private void remember(String engine, EngineResidency h) {
        Seen s = seen.get(engine);
        if (s == null || s.bornMs != h.bornMs()) {
            s = new Seen(h.bornMs(), new HashSet<>());
            seen.put(engine, s);
        }
        for (Map.Entry<String, Map<String, Integer>> m : h.held().entrySet()) {
            for (String a : m.getValue().keySet()) {
                s.adapters.add(new AdapterRef(m.getKey(), a));
            }
        }
    }

    /** Takes note that an engine refused a request because it does not hold the adapter. */
    public void recordAbsent(Endpoint e, AdapterRef ref) {
        Told t = told.get(e.id());
        if (t == null || t.holding.bornMs() != e.bornMs()) {
            return;
        }
        Map<String, Map<String, Integer>> held = new HashMap<>(t.holding.held());
        Map<String, Integer> adapters = new HashMap<>(held.getOrDefault(ref.model(), Map.of()));
        adapters.remove(ref.adapter());
        held.put(ref.model(), adapters);
        told.put(e.id(), new Told(new EngineResidency(e.bornMs(), t.holding.orders(), held), t.atNanos));
    }

    /** What the engine holds as far as is known. */
    public EngineResidency residencyOf(Endpoint e) {
        Told t = told.get(e.id());
        boolean usable = t != null && t.holding.bornMs() == e.bornMs() && ageMs(t) < FRESH_MS;
        return usable ? t.holding : new EngineResidency(e.bornMs(), 0, e.held());
    }

    private long ageMs(Told t) {
        return (scheduler.nanoTime() - t.atNanos) / 1_000_000;
    }

    private record Seen(long bornMs, Set<AdapterRef> adapters) {}

    private record Told(EngineResidency holding, long atNanos) {}
}
