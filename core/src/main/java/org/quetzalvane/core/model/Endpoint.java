package org.quetzalvane.core.model;

/** A back end to which requests are dispatched: a model engine or a service. Implementations are immutable. */
public sealed interface Endpoint extends ConfigObject permits Engine, Service {

    /** The base URL of the endpoint. */
    String url();

    /** Name of its host in the host list. */
    String host();

    DataCentre dataCentre();
}
