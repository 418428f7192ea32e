package org.quetzalvane.core.model;

/** A configured back end to which requests are dispatched: an engine or a service. Implementations are immutable. */
public sealed interface EndpointConfig extends ConfigObject permits Engine, Service {

    /** The base URL of the endpoint. */
    String url();

    /** Name of the host of the endpoint, as in the host list. */
    String host();

    DataCentre dataCentre();
}
