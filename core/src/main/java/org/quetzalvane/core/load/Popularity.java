package org.quetzalvane.core.load;

import java.util.HashMap;
import java.util.Map;

import org.quetzalvane.core.model.AdapterVersion;

/**
 * Exponentially decaying count of the requests for each adapter version at one engine.
 *
 * <p>When the table is full, entries that have decayed below one half are dropped. Not thread-safe; guarded by the lock
 * of its {@link EngineDispatcher}.
 */
final class Popularity {
    private static final int MAX_ENTRIES = 4096;
    private static final double HALF_LIFE_NANOS = 120e9;
    private static final double NEGLIGIBLE_COUNT = 0.5;

    private final Map<AdapterVersion, Count> counts = new HashMap<>();

    private static final class Count {
        private double value;
        private long updatedAtNanos;
    }

    void recordRequest(AdapterVersion v, long now) {
        if (counts.size() >= MAX_ENTRIES) {
            counts.values().removeIf(c -> decayed(c, now) < NEGLIGIBLE_COUNT);
        }
        Count c = counts.computeIfAbsent(v, k -> new Count());
        c.value = decayed(c, now) + 1;
        c.updatedAtNanos = now;
    }

    /** Returns the decayed count, or 0 if the version was not requested. */
    double decayedCount(AdapterVersion v, long now) {
        Count c = counts.get(v);
        return c == null ? 0 : decayed(c, now);
    }

    private static double decayed(Count c, long now) {
        return c.value * Math.pow(0.5, (now - c.updatedAtNanos) / HALF_LIFE_NANOS);
    }
}
