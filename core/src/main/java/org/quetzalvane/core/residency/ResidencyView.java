package org.quetzalvane.core.residency;

import java.util.HashMap;
import java.util.Map;

import org.quetzalvane.core.fleet.Endpoint;
import org.quetzalvane.core.routes.AdapterRef;
import org.quetzalvane.core.time.Scheduler;

/**
 * This node's belief of what every engine holds: the duty holder's word while it is fresh, else the engine's entry.
 *
 * <p>Confined to the event loop.
 */
public final class ResidencyView {
    /** A duty holder's word is preferred this long, ms: five of its reports. */
    private static final long FRESH_MS = 1_500;

    private final Scheduler scheduler;
    private final Map<String, Told> told = new HashMap<>();

    public ResidencyView(Scheduler scheduler) {
        this.scheduler = scheduler;
    }

    /** Takes what the engine's duty holder says. */
    public void tell(String engine, EngineHolding holding) {
        Told before = told.get(engine);
        boolean older = before != null
                && (holding.bornMs() < before.holding.bornMs()
                        || holding.bornMs() == before.holding.bornMs() && holding.orders() < before.holding.orders());
        if (!older) {
            told.put(engine, new Told(holding, scheduler.nanoTime()));
        }
    }

    /** Takes note that an engine refused a request because it does not hold the adapter. */
    public void missing(Endpoint e, AdapterRef ref) {
        Told t = told.get(e.id());
        if (t == null || t.holding.bornMs() != e.bornMs()) {
            return;
        }
        Map<String, Map<String, Integer>> held = new HashMap<>(t.holding.held());
        Map<String, Integer> adapters = new HashMap<>(held.getOrDefault(ref.model(), Map.of()));
        adapters.remove(ref.adapter());
        held.put(ref.model(), adapters);
        told.put(e.id(), new Told(new EngineHolding(e.bornMs(), t.holding.orders(), held), t.atNanos));
    }

    /** What the engine holds as far as is known. */
    public EngineHolding holding(Endpoint e) {
        Told t = told.get(e.id());
        boolean usable = t != null
                && t.holding.bornMs() == e.bornMs()
                && (t.holding.orders() >= e.orders() || ageMs(t) < FRESH_MS);
        return usable ? t.holding : new EngineHolding(e.bornMs(), e.orders(), e.held());
    }

    private long ageMs(Told t) {
        return (scheduler.nanoTime() - t.atNanos) / 1_000_000;
    }

    private record Told(EngineHolding holding, long atNanos) {}
}
