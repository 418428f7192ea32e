package org.quetzalvane.core.model;

/**
 * A plain service. Immutable.
 *
 * @param name unique name
 * @param url base URL
 * @param host host it runs on, as the host list names it
 * @param dataCentre where it runs
 */
public record Service(String name, String url, String host, DataCentre dataCentre) implements Endpoint {

    @Override
    public Kind kind() {
        return Kind.SERVICE;
    }
}
