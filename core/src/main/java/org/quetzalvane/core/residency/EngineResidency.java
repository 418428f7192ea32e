package org.quetzalvane.core.residency;

import java.util.Map;

import org.quetzalvane.core.routes.AdapterRef;
import org.quetzalvane.core.routes.RequiredVersions;

/**
 * What one life of an engine holds, as its duty holder or its own entry said. Immutable.
 *
 * @param bornMs the life concerned
 * @param orders orders accepted so far; a greater number is newer
 * @param held adapter versions by base model
 */
public record EngineResidency(long bornMs, long orders, Map<String, Map<String, Integer>> held) {

    public EngineResidency {
        held = Map.copyOf(held);
    }

    /** Number of adapters held. */
    public int adapterCount() {
        return held.values().stream().mapToInt(Map::size).sum();
    }

    /** Whether it holds a version of an adapter that serves a request, or the base model where it names no adapter. */
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
