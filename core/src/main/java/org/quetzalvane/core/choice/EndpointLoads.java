package org.quetzalvane.core.choice;

import java.util.HashMap;
import java.util.Map;

/**
 * Work in progress at each endpoint: this node's own exactly, that of its peers as they last reported it.
 *
 * <p>Confined to the event loop.
 */
public final class EndpointLoads {
    private final Map<String, Load> own = new HashMap<>();
    private final Map<String, Map<String, Load>> peers = new HashMap<>();

    /**
     * Work at one endpoint: running or queued requests, and prompt tokens of those without a first event. Immutable.
     *
     * @param requests requests that run or wait there
     * @param pendingTokens prompt tokens of requests without a first event
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

    /** Counts the first event of an answer: its prompt has been read. */
    public void prefillDone(String endpoint, long promptTokens) {
        own.merge(endpoint, new Load(0, -promptTokens), Load::plus);
    }

    /** Counts the end of a request; {@code promptTokens} is zero when it had a first event. */
    public void requestEnded(String endpoint, long promptTokens) {
        own.merge(endpoint, new Load(-1, -promptTokens), Load::plus);
        own.computeIfPresent(endpoint, (id, l) -> l.requests() <= 0 ? null : l);
    }

    /** Takes a peer's report of its own work, in place of the one before. */
    public void updatePeer(String peer, Map<String, Load> loads) {
        peers.put(peer, loads);
    }

    /** Drops a peer that is no longer heard of. */
    public void removePeer(String peer) {
        peers.remove(peer);
    }

    /** Work of all known nodes at an endpoint. */
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

    /** This node's own work by endpoint, as reported to peers. */
    public Map<String, Load> own() {
        return Map.copyOf(own);
    }
}
