package org.quetzalvane.core.choice;

import java.util.Comparator;
import java.util.List;
import java.util.Set;

import org.quetzalvane.core.fleet.Endpoint;

/**
 * Selects the endpoint of a plain service: the least loaded one, with a preference for the node's own data centre.
 *
 * <p>Confined to the event loop.
 */
public final class ServiceEndpointSelector {
    /** Added to the requests of an endpoint in another data centre, scaled to {@link #REFERENCE_SLOTS}. */
    private static final double REMOTE_DATA_CENTRE_COST_REQUESTS = 1.5;
    /** Number of request slots to which the requests of an endpoint are scaled. */
    private static final int REFERENCE_SLOTS = 6;

    private final EndpointLoads loads;
    private final OutlierDetector outliers;
    private final String dataCentre;

    public ServiceEndpointSelector(EndpointLoads loads, OutlierDetector outliers, String dataCentre) {
        this.loads = loads;
        this.outliers = outliers;
        this.dataCentre = dataCentre;
    }

    /** Selects one of the candidates, or null if there is none. */
    public Endpoint select(List<Endpoint> candidates, Set<String> excluded) {
        List<Endpoint> remaining =
                candidates.stream().filter(e -> !excluded.contains(e.id())).toList();
        return outliers.healthy(remaining, Endpoint::id).stream()
                .min(Comparator.comparingDouble(this::cost).thenComparing(Endpoint::id))
                .orElse(null);
    }

    private double cost(Endpoint e) {
        double load = (double) loads.total(e.id()).requests() / Math.max(1, e.requestSlots());
        return load * REFERENCE_SLOTS + (e.zone().equals(dataCentre) ? 0 : REMOTE_DATA_CENTRE_COST_REQUESTS);
    }
}
