package org.quetzalvane.core.team;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;

import org.quetzalvane.core.fleet.Endpoint;
import org.quetzalvane.core.residency.EngineController;
import org.quetzalvane.core.residency.EngineResidency;

/** The engines that this node gives orders to: those of its duties that are in the list. Confined to the event loop. */
public final class AssignedEngines {
    private final AssignmentLease lease;
    private final Function<Endpoint, EngineController> factory;
    private final Map<String, EngineController> duties = new HashMap<>();

    /** Builds the book; {@code factory} gives null for an endpoint that is no engine. */
    public AssignedEngines(AssignmentLease lease, Function<Endpoint, EngineController> factory) {
        this.lease = lease;
        this.factory = factory;
    }

    /** Brings the duties in line with the lease and the engines now listed. */
    public void reconcile(List<Endpoint> engines) {
        Set<String> wanted = new HashSet<>();
        for (Endpoint e : engines) {
            if (lease.owns(lease.partitionOf(e.id()))) {
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
    public EngineController find(String engine) {
        return duties.get(engine);
    }

    /** What the engines of this node's duties hold, as far as it was read. */
    public Map<String, EngineResidency> residencies() {
        Map<String, EngineResidency> all = new HashMap<>();
        duties.forEach((id, d) -> {
            EngineResidency h = d.holding();
            if (h != null) {
                all.put(id, h);
            }
        });
        return all;
    }

    private void open(Endpoint e) {
        EngineController d = duties.get(e.id());
        if (d != null && d.engine().sameInstance(e)) {
            d.refresh(e);
            return;
        }
        if (d != null) {
            d.close();
            duties.remove(e.id());
        }
        EngineController fresh = factory.apply(e);
        if (fresh != null) {
            duties.put(e.id(), fresh);
        }
    }
}
