package org.quetzalvane.core.choice;

import java.util.Comparator;
import java.util.List;
import java.util.Set;

import org.quetzalvane.core.fleet.Endpoint;

/**
 * Chooses the endpoint of a plain service: the least loaded, the own data centre among equals.
 *
 * <p>Confined to the event loop.
 */
public final class ServiceEndpointSelector {
    /** Requests that the own data centre may have more than another and still be preferred. */
    private static final double OWN_ZONE_REQUESTS = 1.5;

    private final EndpointLoads loads;
    private final OutlierDetector outliers;
    private final String zone;

    public ServiceEndpointSelector(EndpointLoads loads, OutlierDetector outliers, String zone) {
        this.loads = loads;
        this.outliers = outliers;
        this.zone = zone;
    }

    /** Chooses among the candidates, or gives null when there is none. */
    public Endpoint select(List<Endpoint> candidates, Set<String> excluded) {
        List<Endpoint> left =
                candidates.stream().filter(e -> !excluded.contains(e.id())).toList();
        return outliers.healthy(left, Endpoint::id).stream()
                .min(Comparator.comparingDouble(this::cost).thenComparing(Endpoint::id))
                .orElse(null);
    }

    private double cost(Endpoint e) {
        double load = (double) loads.total(e.id()).requests() / Math.max(1, e.slots());
        return load * 6 + (e.zone().equals(zone) ? 0 : OWN_ZONE_REQUESTS);
    }
}
