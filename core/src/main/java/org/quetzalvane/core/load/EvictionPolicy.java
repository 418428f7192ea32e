package org.quetzalvane.core.load;

import java.util.List;
import java.util.Optional;

/** Chooses which idle resident adapter gives way. Implementations are thread-safe. */
@FunctionalInterface
public interface EvictionPolicy {

    /** The victim among slots that are resident, idle, not waited for and safe to evict. */
    Optional<Slot> victim(List<Slot> candidates);

    /** The slot used longest ago. */
    static EvictionPolicy leastRecentlyUsed() {
        return candidates -> candidates.stream().min(java.util.Comparator.comparingLong(Slot::lastUsedNanos));
    }
}
