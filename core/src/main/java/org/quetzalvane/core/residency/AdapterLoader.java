package org.quetzalvane.core.residency;

import java.util.function.Consumer;

import org.quetzalvane.core.fleet.Endpoint;

/** Port that has an adapter loaded on an engine by the node that owns the engine. */
public interface AdapterLoader {

    /** Outcome of a load request. */
    enum Outcome {
        /** The adapter is resident and will not be evicted before the request can reach the engine. */
        RESIDENT,
        /** The adapter was not loaded in time, or the engine has no room for it. */
        REFUSED,
        /** The owner of the engine does not reach it. */
        UNREACHABLE,
        /** No owner of the engine is known, or the owner did not respond in time. */
        NO_OWNER
    }

    /**
     * Requests an adapter.
     *
     * @param done called once on the event loop, possibly before this method returns, at the latest a network round
     *     trip after the longest wait of the request
     */
    void load(Endpoint engine, LoadRequest request, Consumer<Outcome> done);

    /** Whether some node that is up owns the engine. */
    boolean hasOwner(Endpoint engine);
}
