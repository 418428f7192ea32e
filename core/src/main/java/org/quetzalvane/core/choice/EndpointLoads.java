package org.quetzalvane.core.choice;

import java.util.HashMap;
import java.util.Map;

/**
 * Requests and pending prompt tokens of each endpoint: those of this node exactly, those of its peers as last reported.
 *
 * <p>Confined to the event loop.
 */
public final class EndpointLoads {
    private final Map<String, Load> own = new HashMap<>();
    private final Map<String, Map<String, Load>> peers = new HashMap<>();

    /**
     * Requests and pending prompt tokens of one endpoint. Immutable.
     *
     * @param requests requests that run or wait at the endpoint
     * @param pendingTokens prompt tokens of the requests whose first token has not arrived
     */
    public record Load(int requests, long pendingTokens) {
        public static final Load NONE = new Load(0, 0);

        Load plus(Load other) {
            return new Load(requests + other.requests, pendingTokens + other.pendingTokens);
        }
    }

    /** Counts a request that was sent to an endpoint. */
    public void requestStarted(String endpoint, long promptTokens) {
        own.merge(endpoint, new Load(1, promptTokens), Load::plus);
    }

    /** Removes the prompt tokens of a request whose first token has arrived. */
    public void prefillDone(String endpoint, long promptTokens) {
        own.merge(endpoint, new Load(0, -promptTokens), Load::plus);
    }

    /** Removes a request that has ended; {@code promptTokens} is zero if its first token had arrived. */
    public void requestEnded(String endpoint, long promptTokens) {
        own.merge(endpoint, new Load(-1, -promptTokens), Load::plus);
        own.computeIfPresent(endpoint, (id, l) -> l.requests() <= 0 ? null : l);
    }

    /** Replaces the endpoint loads that a peer last reported of its own requests. */
    public void updatePeer(String peer, Map<String, Load> loads) {
        peers.put(peer, loads);
    }

    /** Removes a peer that is no longer up. */
    public void removePeer(String peer) {
        peers.remove(peer);
    }

    /** Requests and pending prompt tokens of an endpoint, summed over this node and its peers. */
    public Load total(String endpoint) {
        Load sum = own.getOrDefault(endpoint, Load.NONE);
        for (Map<String, Load> m : peers.values()) {
            Load l = m.get(endpoint);
            if (l != null) {
                sum = sum.plus(l);
            }
        }
        return sum;
    }

    /** Endpoint load of this node's own requests by endpoint, as reported to peers. */
    public Map<String, Load> own() {
        return Map.copyOf(own);
    }
}
