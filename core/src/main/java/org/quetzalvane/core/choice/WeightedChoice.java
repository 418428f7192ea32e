package org.quetzalvane.core.choice;

import java.util.List;
import java.util.function.ToDoubleFunction;

import org.quetzalvane.core.cluster.RendezvousHash;
import org.quetzalvane.core.fleet.Endpoint;

/**
 * Selects among engines whose load is known late, at random by the hash of the request id and in proportion to the
 * capacity that is left.
 *
 * <p>Load pattern: many nodes that learn the load of an engine 300 to 600 ms late. If all of them select the engine
 * with the least known cost, they send to the same engine until the next report. A repeated request selects the same
 * engine while the weights are equal. Stateless and thread-safe.
 */
final class WeightedChoice {
    /** Appended to the id of a request for its second candidate. */
    private static final String SECOND = "/2";

    private WeightedChoice() {}

    /**
     * The one with more capacity left of two engines that {@link #select} finds, or null if no weight is positive. On
     * few engines, whose loads are known sooner, one random engine costs more than the least known cost does.
     */
    static Endpoint betterOfTwo(List<Endpoint> engines, String request, ToDoubleFunction<Endpoint> weight) {
        Endpoint first = select(engines, request, weight);
        Endpoint second = first == null ? null : select(engines, request + SECOND, weight);
        return first == null || weight.applyAsDouble(first) >= weight.applyAsDouble(second) ? first : second;
    }

    /**
     * Selects one of the engines with a positive weight, or null if there is none.
     *
     * @param request id of the request
     * @param weight capacity that is left on an engine; 0 if it must not be selected
     */
    static Endpoint select(List<Endpoint> engines, String request, ToDoubleFunction<Endpoint> weight) {
        Endpoint best = null;
        double highest = 0;
        for (Endpoint e : engines) {
            double w = weight.applyAsDouble(e);
            double score = w > 0 ? RendezvousHash.weightedScore(request, e.id(), w) : 0;
            if (score > highest) {
                highest = score;
                best = e;
            }
        }
        return best;
    }
}
