package org.quetzalvane.core.load;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.ToDoubleFunction;

import org.quetzalvane.core.model.AdapterVersion;

/** Selects the idle resident adapter to evict. Implementations are thread-safe. */
@FunctionalInterface
public interface EvictionPolicy {

    /**
     * Selects the adapter slot to evict among slots that are resident and idle and whose adapter no request waits for.
     *
     * @param popularity decayed count of the recent requests for an adapter version
     */
    Optional<Slot> victim(List<Slot> candidates, ToDoubleFunction<AdapterVersion> popularity);

    /** Returns a policy that evicts the least recently used adapter. */
    static EvictionPolicy leastRecentlyUsed() {
        return (candidates, popularity) -> candidates.stream().min(Comparator.comparingLong(Slot::lastUsedAtNanos));
    }

    /**
     * Returns a policy that evicts the adapter with the lowest popularity, and among equals the least recently used.
     */
    static EvictionPolicy leastPopular() {
        return (candidates, popularity) -> candidates.stream()
                .min(Comparator.comparingDouble((Slot s) -> popularity.applyAsDouble(s.version()))
                        .thenComparingLong(Slot::lastUsedAtNanos));
    }
}
