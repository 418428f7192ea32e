package org.quetzalvane.core.routing;

import java.util.List;
import java.util.Optional;

import org.quetzalvane.core.cluster.Membership;
import org.quetzalvane.core.cluster.NodeInfo;
import org.quetzalvane.core.cluster.Rendezvous;
import org.quetzalvane.core.config.ConfigState;
import org.quetzalvane.core.config.ConfigTable;
import org.quetzalvane.core.model.AdapterVersion;
import org.quetzalvane.core.model.Engine;
import org.quetzalvane.core.ownership.Ownership;

/**
 * Chooses the engine for an adapter version: the first of its rendezvous order that has a known owner and does not
 * stand on a leaving host. Thread-safe; holds no state of its own.
 */
public final class Placement {
    private final String region;
    private final ConfigTable config;
    private final Membership membership;
    private final Ownership ownership;

    public Placement(String region, ConfigTable config, Membership membership, Ownership ownership) {
        this.region = region;
        this.config = config;
        this.membership = membership;
        this.ownership = ownership;
    }

    /** The route for an adapter version, or empty when no engine can take it now. */
    public Optional<Route> route(AdapterVersion v) {
        List<Engine> fitting = config.read(s -> fitting(s, v));
        for (Engine e : Rendezvous.rank(v.toString(), fitting, Engine::name)) {
            Optional<NodeInfo> owner = ownership.ownerOf(e.name());
            if (owner.isPresent() && !membership.hostLeaving(e.host())) {
                return Optional.of(new Route(e, owner.get()));
            }
        }
        return Optional.empty();
    }

    private List<Engine> fitting(ConfigState s, AdapterVersion v) {
        String baseModel = s.adapter(v.adapter()).map(a -> a.baseModel()).orElse("");
        return s.engines(baseModel).stream()
                .filter(e -> e.dataCentre().region().equals(region))
                .toList();
    }
}
