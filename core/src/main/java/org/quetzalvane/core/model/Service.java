package org.quetzalvane.core.model;

/**
 * A service that is not a model engine. Immutable.
 *
 * @param name unique name
 * @param url base URL
 * @param host name of the host of the service, as in the host list
 * @param dataCentre data centre of the host
 */
public record Service(String name, String url, String host, DataCentre dataCentre) implements EndpointConfig {

    @Override
    public Kind kind() {
        return Kind.SERVICE;
    }
}
