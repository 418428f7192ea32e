package org.quetzalvane.core.residency;

import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

import org.quetzalvane.core.fleet.Endpoint;
import org.quetzalvane.core.routes.AdapterRef;

/** Port for orders to engines. Answers arrive on the event loop, once each. */
public interface EngineOrders {

    /** What an order asks for. */
    enum Action {
        LOAD,
        UNLOAD
    }

    /**
     * An order. Immutable.
     *
     * @param action what is asked for
     * @param target adapter, or the base model itself where the adapter's name is empty
     * @param version adapter version, or {@link org.quetzalvane.core.routes.RequiredVersions#ANY_VERSION}
     * @param expectedOrders number of orders that the engine must have accepted before, else it refuses
     * @param fencingToken token of the duty under which the order is given
     */
    record Order(Action action, AdapterRef target, int version, long expectedOrders, long fencingToken) {}

    /** How the engine answered an order. */
    enum Answer {
        /** The engine already is as the order wants it. */
        HOLDS,
        /** The order is being carried out. */
        ACCEPTED,
        /** Another order is under way, or the number of accepted orders differs. */
        CONFLICT,
        /** A greater fencing token has been seen. */
        FENCED,
        /** Another engine answers at the address, or the order makes no sense to it. */
        REFUSED,
        /** No answer; the order may be carried out, also later. */
        UNKNOWN
    }

    /**
     * An engine's own word of its state, some hundred milliseconds old. Immutable.
     *
     * @param bornMs start of this life, milliseconds since the epoch
     * @param orders orders accepted so far
     * @param busy whether a base model is being loaded or unloaded
     * @param held adapter versions by base model
     * @param pending adapters on their way, by base model
     */
    record Report(
            long bornMs, long orders, boolean busy, Map<String, Map<String, Integer>> held, Set<AdapterRef> pending) {}

    void order(Endpoint engine, Order order, Consumer<Answer> done);

    /** Asks for the engine's state; null when there is no answer. */
    void report(Endpoint engine, Consumer<Report> done);
}
