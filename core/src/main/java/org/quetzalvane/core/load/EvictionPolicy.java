package org.quetzalvane.core.load;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.ToDoubleFunction;

import org.quetzalvane.core.model.AdapterVersion;

/** Chooses which idle resident adapter gives way. Implementations are thread-safe. */
@FunctionalInterface
public interface EvictionPolicy {

    /**
     * The victim among slots that are resident, idle, not waited for and safe to evict.
     *
     * @param popularity decayed count of recent requests of an adapter version
     */
    Optional<Slot> victim(List<Slot> candidates, ToDoubleFunction<AdapterVersion> popularity);

    /** The slot used longest ago. */
    static EvictionPolicy leastRecentlyUsed() {
        return (candidates, popularity) -> candidates.stream().min(Comparator.comparingLong(Slot::lastUsedNanos));
    }

    /** The slot that is least likely to be asked for again; among equals the one used longest ago. */
    static EvictionPolicy leastPopular() {
        return (candidates, popularity) -> candidates.stream()
                .min(Comparator.comparingDouble((Slot s) -> popularity.applyAsDouble(s.version()))
                        .thenComparingLong(Slot::lastUsedNanos));
    }
}
