package org.quetzalvane.core.load;

import java.util.Optional;

import org.quetzalvane.core.event.EventLog;
import org.quetzalvane.core.model.AdapterVersion;
import org.quetzalvane.core.port.EnginePort;
import org.quetzalvane.core.time.Scheduler;

/**
 * Dependencies shared by the dispatchers of a node. Immutable; the components are thread-safe.
 *
 * @param port access to the engines
 * @param budget this node's share of the load limits of the weight store
 * @param weights finds the weights of an adapter version
 * @param scheduler clock and timers
 * @param events event log
 * @param listener receives measurements
 */
public record DispatchContext(
        EnginePort port,
        LoadBudget budget,
        WeightsLookup weights,
        Scheduler scheduler,
        EventLog events,
        DispatchListener listener) {

    /** Finds the location of the weights of an adapter version; empty if the version is not published. */
    @FunctionalInterface
    public interface WeightsLookup {
        Optional<String> find(AdapterVersion version);
    }
}
