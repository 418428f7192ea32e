package org.quetzalvane.core.model;

/** A back end that requests are dispatched to: a model engine or a plain service. Implementations are immutable. */
public sealed interface Endpoint extends ConfigObject permits Engine, Service {

    /** Base URL of the endpoint. */
    String url();

    /** The host it runs on, as the host list names it. */
    String host();

    DataCentre dataCentre();
}
