package org.quetzalvane.core.model;

/**
 * A model engine, which runs one base model and a limited number of adapters. Immutable.
 *
 * @param name unique name
 * @param url base URL
 * @param host name of the host of the engine, as in the host list
 * @param dataCentre data centre of the host
 * @param baseModel name of the base model that the engine runs
 * @param slots number of adapter slots
 * @param batchSize maximum number of requests in a batch
 * @param checksFencing whether the engine refuses orders with an outdated fencing token
 */
public record Engine(
        String name,
        String url,
        String host,
        DataCentre dataCentre,
        String baseModel,
        int slots,
        int batchSize,
        boolean checksFencing)
        implements EndpointConfig {

    @Override
    public Kind kind() {
        return Kind.ENGINE;
    }
}
