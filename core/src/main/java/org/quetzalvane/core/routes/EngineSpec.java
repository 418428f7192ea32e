package org.quetzalvane.core.routes;

import java.util.List;
import java.util.Optional;

/**
 * Capacity of each engine of a service. Immutable.
 *
 * @param requestSlots number of request slots: requests that run at once
 * @param kvTokens memory for running requests and the prefix cache, in tokens
 * @param models base models, the most requested first
 * @param memoryMb memory for weights and adapters together, in megabytes
 * @param adapterSlots number of adapter slots
 */
public record EngineSpec(int requestSlots, long kvTokens, List<BaseModel> models, double memoryMb, int adapterSlots) {

    public EngineSpec {
        models = List.copyOf(models);
    }

    public Optional<BaseModel> model(String name) {
        return models.stream().filter(m -> m.name().equals(name)).findFirst();
    }

    /** Number of adapters that fit beside one base model, limited by adapter slots and by memory. */
    public int maxAdapters(BaseModel model) {
        if (model.adapterMb() <= 0) {
            return adapterSlots;
        }
        int byMemory = (int) ((memoryMb - model.weightsMb()) / model.adapterMb());
        return Math.max(0, Math.min(adapterSlots, byMemory));
    }
}
