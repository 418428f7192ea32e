package org.quetzalvane.core.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.quetzalvane.core.cluster.RendezvousHash;
import org.quetzalvane.core.model.Engine;

/**
 * The engines of one region by base model, each with the hash of its name. Thread-safe; the map and its lists must not
 * be changed.
 *
 * @param appliedOffset offset of the configuration that was applied before the engines were read; they may include
 *     later records
 * @param byBaseModel engines by base model
 */
record EngineCandidates(long appliedOffset, Map<String, List<Candidate>> byBaseModel) {
    static final EngineCandidates NONE = new EngineCandidates(Long.MIN_VALUE, Map.of());

    /**
     * An engine with its hash. Immutable.
     *
     * @param engine engine
     * @param hash hash of the engine's name
     */
    record Candidate(Engine engine, long hash) {}

    /** Candidates among the given engines that lie in the region. */
    static EngineCandidates of(long appliedOffset, String region, Collection<Engine> engines) {
        Map<String, List<Candidate>> byBaseModel = new HashMap<>();
        for (Engine e : engines) {
            if (e.dataCentre().region().equals(region)) {
                Candidate c = new Candidate(e, RendezvousHash.hash(e.name()));
                byBaseModel
                        .computeIfAbsent(e.baseModel(), b -> new ArrayList<>())
                        .add(c);
            }
        }
        return new EngineCandidates(appliedOffset, byBaseModel);
    }

    /** Candidates with the base model; empty if there are none. */
    List<Candidate> withBaseModel(String baseModel) {
        return byBaseModel.getOrDefault(baseModel, List.of());
    }
}
