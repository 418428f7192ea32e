package org.quetzalvane.core.model;

/**
 * A model engine, which runs one base model and a limited number of adapters. Immutable.
 *
 * @param name unique name
 * @param url base URL
 * @param host name of its host in the host list
 * @param dataCentre data centre of the host
 * @param baseModel name of the base model that it runs
 * @param slots number of adapter slots
 * @param batchSize maximum number of requests in a batch
 * @param checksFencing whether it refuses orders with an outdated fencing token
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
        implements Endpoint {

    @Override
    public Kind kind() {
        return Kind.ENGINE;
    }
}
