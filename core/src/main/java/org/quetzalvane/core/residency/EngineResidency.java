package org.quetzalvane.core.residency;

import java.util.Map;

import org.quetzalvane.core.routes.AdapterRef;
import org.quetzalvane.core.routes.RequiredVersions;

/**
 * Adapters resident on one instance of an engine, as reported by its owner or by its own list entry. Immutable; the
 * inner maps are not copied and must not be changed.
 *
 * @param bornMs start of the instance, milliseconds since the epoch
 * @param orders number of orders accepted so far; a greater number is newer
 * @param held adapter versions by base model
 */
public record EngineResidency(long bornMs, long orders, Map<String, Map<String, Integer>> held) {

    public EngineResidency {
        held = Map.copyOf(held);
    }

    public int adapterCount() {
        return held.values().stream().mapToInt(Map::size).sum();
    }

    /**
     * Whether a version that can serve the request is resident; for an empty adapter name, whether the base model is.
     */
    public boolean serves(AdapterRef ref, int version) {
        Map<String, Integer> adapters = held.get(ref.model());
        if (adapters == null) {
            return false;
        }
        if (ref.adapter().isEmpty()) {
            return true;
        }
        Integer v = adapters.get(ref.adapter());
        return v != null && (version == RequiredVersions.ANY_VERSION || v == version);
    }
}
