package org.quetzalvane.core.routes;

/**
 * A service that routes send requests to. Immutable.
 *
 * @param name name of the service
 * @param maxConnections connections that one endpoint accepts in total
 * @param engine capacity of its engines, or null for a plain service
 */
public record ServiceSpec(String name, int maxConnections, EngineSpec engine) {

    public boolean servesModels() {
        return engine != null;
    }
}
