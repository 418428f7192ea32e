package org.quetzalvane.core.routes;

/**
 * A service behind the routes. Immutable.
 *
 * @param name name
 * @param maxConnections connections that one endpoint accepts from all callers together
 * @param engine null for a plain service
 */
public record ServiceSpec(String name, int maxConnections, EngineSpec engine) {

    public boolean servesModels() {
        return engine != null;
    }
}
