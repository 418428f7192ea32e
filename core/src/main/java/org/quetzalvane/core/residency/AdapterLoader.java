package org.quetzalvane.core.residency;

import java.util.function.Consumer;

import org.quetzalvane.core.fleet.Endpoint;

/** Port that brings an adapter onto an engine, through whichever node holds the engine's duty. */
public interface AdapterLoader {

    /** How a request for an adapter ended. */
    enum Outcome {
        /** The engine holds the adapter, and it will not be evicted before the request can reach it. */
        RESIDENT,
        /** The adapter did not come in time, or the engine has no room for it. */
        REFUSED,
        /** No node that can be reached gives orders to the engine. */
        NO_OWNER
    }

    /**
     * Asks for an adapter; the answer comes once, on the event loop, within the wish's longest wait.
     */
    void load(Endpoint engine, LoadRequest wish, Consumer<Outcome> done);

    /** Whether some node that is up gives orders to the engine. */
    boolean hasOwner(Endpoint engine);
}
