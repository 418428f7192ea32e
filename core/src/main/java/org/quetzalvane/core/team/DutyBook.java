package org.quetzalvane.core.team;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;

import org.quetzalvane.core.fleet.Endpoint;
import org.quetzalvane.core.residency.EngineDuty;
import org.quetzalvane.core.residency.EngineHolding;

/** The engines that this node gives orders to: those of its duties that are in the list. Confined to the event loop. */
public final class DutyBook {
    private final DutyLease lease;
    private final Function<Endpoint, EngineDuty> factory;
    private final Map<String, EngineDuty> duties = new HashMap<>();

    /** Builds the book; {@code factory} gives null for an endpoint that is no engine. */
    public DutyBook(DutyLease lease, Function<Endpoint, EngineDuty> factory) {
        this.lease = lease;
        this.factory = factory;
    }

    /** Brings the duties in line with the lease and the engines now listed. */
    public void reconcile(List<Endpoint> engines) {
        Set<String> wanted = new HashSet<>();
        for (Endpoint e : engines) {
            if (lease.holds(lease.partitionOf(e.id()))) {
                wanted.add(e.id());
                open(e);
            }
        }
        for (String id : List.copyOf(duties.keySet())) {
            if (!wanted.contains(id)) {
                duties.remove(id).close();
            }
        }
    }

    /** The duty for an engine, or null where another node holds it. */
    public EngineDuty find(String engine) {
        return duties.get(engine);
    }

    /** What the engines of this node's duties hold, as far as it was read. */
    public Map<String, EngineHolding> holdings() {
        Map<String, EngineHolding> all = new HashMap<>();
        duties.forEach((id, d) -> {
            EngineHolding h = d.holding();
            if (h != null) {
                all.put(id, h);
            }
        });
        return all;
    }

    private void open(Endpoint e) {
        EngineDuty d = duties.get(e.id());
        if (d != null && d.engine().sameLife(e)) {
            d.refresh(e);
            return;
        }
        if (d != null) {
            d.close();
            duties.remove(e.id());
        }
        EngineDuty fresh = factory.apply(e);
        if (fresh != null) {
            duties.put(e.id(), fresh);
        }
    }
}
