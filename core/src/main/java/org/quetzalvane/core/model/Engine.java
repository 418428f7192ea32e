package org.quetzalvane.core.model;

/**
 * A model engine. Immutable.
 *
 * @param name unique name
 * @param url base URL
 * @param host host it runs on, as the host list names it
 * @param dataCentre where it runs
 * @param baseModel the base model it has loaded
 * @param slots how many adapters fit at a time
 * @param batchSize how many requests run in one batch
 * @param checksFencing whether it refuses orders that carry an old fencing number
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
