package org.quetzalvane.core.residency;

import java.util.function.Consumer;

import org.quetzalvane.core.fleet.Endpoint;
import org.quetzalvane.core.routes.AdapterRef;

/** Port that brings an adapter onto an engine, through whichever node holds the engine's duty. */
@FunctionalInterface
public interface LoadBroker {

    /**
     * Asks for an adapter; the answer comes once, on the event loop.
     *
     * @param waitMs longest wait for the answer, milliseconds
     * @param done told whether the engine now holds the adapter
     */
    void load(Endpoint engine, AdapterRef ref, int version, long waitMs, Consumer<Boolean> done);
}
