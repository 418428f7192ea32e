package org.quetzalvane.core.residency;

import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

import org.quetzalvane.core.fleet.Endpoint;
import org.quetzalvane.core.routes.AdapterRef;

/** Port for orders to engines. Answers and reports arrive on the event loop, once each. */
public interface EngineOrders {

    /** Kind of an order. */
    enum Action {
        LOAD,
        UNLOAD
    }

    /**
     * An order. Immutable.
     *
     * @param action kind of the order
     * @param target adapter, or the base model itself if the adapter name is empty
     * @param version adapter version, or {@link org.quetzalvane.core.routes.RequiredVersions#ANY_VERSION}
     * @param expectedOrders number of orders that the engine must have accepted before; otherwise it answers {@link
     *     Answer#CONFLICT}
     * @param fencingToken fencing token of the assignment under which the order is sent
     */
    record Order(Action action, AdapterRef target, int version, long expectedOrders, long fencingToken) {}

    /** Answer of an engine to an order. */
    enum Answer {
        /**
         * The requested state is in effect. A load was not needed and is not counted; an unload was carried out and is
         * counted as accepted.
         */
        HOLDS,
        /** The order is counted and being carried out. */
        ACCEPTED,
        /** Another order is in progress, or the number of accepted orders differs. */
        CONFLICT,
        /** The engine has seen a greater fencing token. */
        FENCED,
        /** Another engine responds at the address, or the order is invalid for it. */
        REFUSED,
        /** There was no answer; the order may have been carried out, or may be carried out later. */
        UNKNOWN
    }

    /**
     * State reported by an engine itself, up to {@link EngineController#REPORT_DELAY_MS} old. Immutable.
     *
     * @param bornMs start of this instance, milliseconds since the epoch
     * @param acceptedOrders number of orders accepted so far
     * @param busy whether a base model is being loaded or unloaded
     * @param held adapter versions by base model
     * @param pending adapters being loaded
     * @param running ids of the requests that run, or null if they are not stated
     */
    record Report(
            long bornMs,
            long acceptedOrders,
            boolean busy,
            Map<String, Map<String, Integer>> held,
            Set<AdapterRef> pending,
            Set<String> running) {}

    /** Sends an order to an engine. */
    void order(Endpoint engine, Order order, Consumer<Answer> done);

    /** Reads the engine's report; null if there is no response. */
    void report(Endpoint engine, Consumer<Report> done);
}
