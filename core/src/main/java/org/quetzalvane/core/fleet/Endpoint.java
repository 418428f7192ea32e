package org.quetzalvane.core.fleet;

import java.util.List;
import java.util.Map;

/**
 * One instance of an endpoint as described by its entry in the platform's list. Immutable.
 *
 * @param id unique id
 * @param service name of the service
 * @param address IP address
 * @param port port number
 * @param zone data centre
 * @param softwareVersion version of the endpoint's software, not of its weights
 * @param state whether the endpoint accepts new requests
 * @param requestSlots number of request slots: requests that run at once
 * @param bornMs start of this instance, milliseconds since the epoch; distinguishes instances with the same id
 * @param held resident adapters and their versions by base model; empty for a plain service; the inner maps must not be
 *     changed
 */
public record Endpoint(
        String id,
        String service,
        String address,
        int port,
        String zone,
        String softwareVersion,
        State state,
        int requestSlots,
        long bornMs,
        Map<String, Map<String, Integer>> held) {

    /** Whether the endpoint accepts new requests. */
    public enum State {
        READY,
        DRAINING
    }

    public Endpoint {
        held = Map.copyOf(held);
    }

    /** Whether this and the other entry describe the same instance of the same endpoint. */
    public boolean sameInstance(Endpoint other) {
        return id.equals(other.id) && bornMs == other.bornMs;
    }

    public boolean ready() {
        return state == State.READY;
    }

    public Endpoint withState(State s) {
        return new Endpoint(id, service, address, port, zone, softwareVersion, s, requestSlots, bornMs, held);
    }

    /** Names of the resident base models. */
    public List<String> models() {
        return List.copyOf(held.keySet());
    }
}
