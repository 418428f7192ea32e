package org.quetzalvane.core.choice;

import java.util.Collection;
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
    /** Sums over {@link #peers} by endpoint; a request reads the load of every endpoint of its service. */
    private final Map<String, Load> peerTotals = new HashMap<>();

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

        Load minus(Load other) {
            return new Load(requests - other.requests, pendingTokens - other.pendingTokens);
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

    /** Replaces the endpoint loads that a peer last reported. */
    public void updatePeer(String peer, Map<String, Load> loads) {
        removePeer(peer);
        peers.put(peer, loads);
        loads.forEach((endpoint, l) -> peerTotals.merge(endpoint, l, Load::plus));
    }

    /** Removes a peer that is no longer up. */
    public void removePeer(String peer) {
        Map<String, Load> before = peers.remove(peer);
        if (before != null) {
            before.forEach((endpoint, l) -> peerTotals.computeIfPresent(endpoint, (id, sum) -> sum.minus(l)));
        }
    }

    /** Requests and pending prompt tokens of an endpoint, summed over this node and its peers. */
    public Load total(String endpoint) {
        return own.getOrDefault(endpoint, Load.NONE).plus(peerTotals.getOrDefault(endpoint, Load.NONE));
    }

    /** Endpoint load by endpoint of this node's own requests and of those that some peers reported. */
    public Map<String, Load> sum(Collection<String> ofPeers) {
        Map<String, Load> sum = new HashMap<>(own);
        for (String peer : ofPeers) {
            peers.getOrDefault(peer, Map.of()).forEach((endpoint, l) -> sum.merge(endpoint, l, Load::plus));
        }
        return sum;
    }

    /** Endpoint load by endpoint of all known requests. */
    public Map<String, Load> all() {
        Map<String, Load> all = new HashMap<>(own);
        peerTotals.forEach((endpoint, l) -> all.merge(endpoint, l, Load::plus));
        all.values().removeIf(Load.NONE::equals);
        return all;
    }

    /** Endpoint load by endpoint less a part of it; endpoints without load are left out. */
    public static Map<String, Load> difference(Map<String, Load> all, Map<String, Load> part) {
        Map<String, Load> rest = new HashMap<>(all);
        part.forEach((endpoint, l) -> rest.computeIfPresent(endpoint, (id, sum) -> sum.minus(l)));
        rest.values().removeIf(Load.NONE::equals);
        return rest;
    }

    /** Endpoint load by endpoint of all known requests but those that one peer reported. */
    public Map<String, Load> allExcept(String peer) {
        return difference(all(), peers.getOrDefault(peer, Map.of()));
    }
}
