package org.quetzalvane.core.load;

import java.util.Optional;

import org.quetzalvane.core.event.EventLog;
import org.quetzalvane.core.model.AdapterVersion;
import org.quetzalvane.core.port.EnginePort;
import org.quetzalvane.core.time.Scheduler;

/**
 * What the dispatchers of a node share. Immutable; its parts are thread-safe.
 *
 * @param port way to the engines
 * @param budget this node's part of the weight store's limits
 * @param weights finds the weights of an adapter version
 * @param scheduler clock and timers
 * @param events where events are recorded
 * @param stats hears the measures
 */
public record DispatchContext(
        EnginePort port,
        LoadBudget budget,
        WeightsLookup weights,
        Scheduler scheduler,
        EventLog events,
        DispatchListener stats) {

    /** Finds where the weights of an adapter version lie, if it is still published. */
    @FunctionalInterface
    public interface WeightsLookup {
        Optional<String> find(AdapterVersion version);
    }
}
