package org.quetzalvane.core.fleet;

import java.util.List;
import java.util.Map;

/**
 * One life of an endpoint as its entry in the platform's list tells it. Immutable.
 *
 * @param id unique name
 * @param service name of the service
 * @param host numeric address
 * @param port port number
 * @param zone data centre
 * @param state whether it takes new work
 * @param slots requests that it runs at once
 * @param bornMs start of this life, milliseconds since the epoch; tells lives under one id apart
 * @param held adapters with their versions by base model; empty for a plain service
 */
public record Endpoint(
        String id,
        String service,
        String host,
        int port,
        String zone,
        State state,
        int slots,
        long bornMs,
        Map<String, Map<String, Integer>> held) {

    /** Whether new work may go to the endpoint. */
    public enum State {
        READY,
        DRAINING
    }

    public Endpoint {
        held = Map.copyOf(held);
    }

    /** Whether both describe the same life of the same endpoint. */
    public boolean sameInstance(Endpoint other) {
        return id.equals(other.id) && bornMs == other.bornMs;
    }

    public boolean ready() {
        return state == State.READY;
    }

    public Endpoint withState(State s) {
        return new Endpoint(id, service, host, port, zone, s, slots, bornMs, held);
    }

    /** Names of the base models it holds. */
    public List<String> models() {
        return List.copyOf(held.keySet());
    }
}
