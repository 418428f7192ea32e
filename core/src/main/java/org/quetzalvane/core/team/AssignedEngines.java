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

/**
 * Registry of the listed engines in the partitions assigned to this node, with one controller each. Confined to the
 * event loop.
 */
public final class AssignedEngines {
    private final AssignmentLease lease;
    private final Function<Endpoint, EngineController> factory;
    private final Map<String, EngineController> controllers = new HashMap<>();

    /** Creates the registry without engines; {@code factory} returns null for an endpoint that is not an engine. */
    public AssignedEngines(AssignmentLease lease, Function<Endpoint, EngineController> factory) {
        this.lease = lease;
        this.factory = factory;
    }

    /** Opens and closes controllers according to the assigned partitions and the engines now listed. */
    public void reconcile(List<Endpoint> engines) {
        Set<String> owned = new HashSet<>();
        for (Endpoint e : engines) {
            if (lease.owns(lease.partitionOf(e.id()))) {
                owned.add(e.id());
                ensureController(e);
            }
        }
        for (String id : List.copyOf(controllers.keySet())) {
            if (!owned.contains(id)) {
                controllers.remove(id).close();
            }
        }
    }

    /** The controller of an engine, or null if this node does not own the engine. */
    public EngineController find(String engine) {
        return controllers.get(engine);
    }

    /** Adapters resident on this node's engines, without engines whose state is unknown. */
    public Map<String, EngineResidency> residencies() {
        Map<String, EngineResidency> all = new HashMap<>();
        controllers.forEach((id, controller) -> {
            EngineResidency residency = controller.residency();
            if (residency != null) {
                all.put(id, residency);
            }
        });
        return all;
    }

    private void ensureController(Endpoint e) {
        EngineController controller = controllers.get(e.id());
        if (controller != null && controller.engine().sameInstance(e)) {
            controller.refresh(e);
            return;
        }
        if (controller != null) {
            controller.close();
            controllers.remove(e.id());
        }
        EngineController opened = factory.apply(e);
        if (opened != null) {
            controllers.put(e.id(), opened);
        }
    }
}
