package org.quetzalvane.core.choice;

import java.util.Comparator;
import java.util.List;
import java.util.Set;

import org.quetzalvane.core.cluster.RendezvousHash;
import org.quetzalvane.core.fleet.Endpoint;
import org.quetzalvane.core.limit.EndpointPermits;

/**
 * Selects the endpoint of a plain service, at random in proportion to the free request slots.
 *
 * <p>Requests to these services end before other nodes learn of them. Nodes that all selected the endpoint with the
 * least known load would send to the same one until the next report, and it would refuse most of them. The hash of the
 * request decides, so that a request that is repeated with the same endpoints selects the same one. Confined to the
 * event loop.
 */
public final class ServiceEndpointSelector {
    /** Smallest part of the request slots that counts as free; a full endpoint is still better than none. */
    private static final double MIN_FREE = 0.05;
    /** Weight of an endpoint in the node's own data centre relative to one in another. */
    private static final double OWN_DATA_CENTRE_WEIGHT = 1.5;

    private final EndpointLoads loads;
    private final OutlierDetector outliers;
    private final EndpointPermits permits;
    private final String dataCentre;

    /**
     * Creates a selector.
     *
     * @param permits permits for endpoints that named a limit
     * @param dataCentre data centre of this node
     */
    public ServiceEndpointSelector(
            EndpointLoads loads, OutlierDetector outliers, EndpointPermits permits, String dataCentre) {
        this.loads = loads;
        this.outliers = outliers;
        this.permits = permits;
        this.dataCentre = dataCentre;
    }

    /**
     * Selects one of the candidates with the shortest wait for a permit, or null if there is none.
     *
     * @param excluded ids of endpoints that are not selected
     * @param request id of the request
     */
    public Endpoint select(List<Endpoint> candidates, Set<String> excluded, String request) {
        List<Endpoint> remaining =
                candidates.stream().filter(e -> !excluded.contains(e.id())).toList();
        List<Endpoint> healthy = outliers.healthy(remaining, Endpoint::id);
        long shortestMs = healthy.stream().mapToLong(permits::waitMs).min().orElse(0);
        return healthy.stream()
                .filter(e -> permits.waitMs(e) <= shortestMs)
                .max(Comparator.<Endpoint>comparingDouble(e -> RendezvousHash.weightedScore(request, e.id(), weight(e)))
                        .thenComparing(Endpoint::id))
                .orElse(null);
    }

    private double weight(Endpoint e) {
        int slots = Math.max(1, e.requestSlots());
        double free = Math.max(MIN_FREE, 1 - (double) loads.total(e.id()).requests() / slots);
        return free * slots * (e.zone().equals(dataCentre) ? OWN_DATA_CENTRE_WEIGHT : 1);
    }
}
