package org.quetzalvane.core.residency;

import java.util.HashMap;
import java.util.Map;

import org.quetzalvane.core.routes.AdapterRef;
import org.quetzalvane.core.time.Scheduler;

/** How long loads are expected to take, and when adapters were loaded. Confined to the event loop. */
public final class LoadTimes {
    /** An adapter's way from the store, ms: the published 250 ms and the way of the order. */
    private static final long FROM_STORE_MS = 265;
    /** An adapter that the engine held before, ms: a tenth of the above and the way of the order. */
    private static final long FROM_MEMORY_MS = 35;

    private final Scheduler scheduler;
    private final Map<String, Map<AdapterRef, Long>> loaded = new HashMap<>();

    public LoadTimes(Scheduler scheduler) {
        this.scheduler = scheduler;
    }

    void loaded(String engine, AdapterRef ref) {
        loaded.computeIfAbsent(engine, e -> new HashMap<>()).put(ref, scheduler.nanoTime());
    }

    /** When the adapter was last loaded there, on the scheduler's clock; {@link Long#MIN_VALUE} if never. */
    long loadedNanos(String engine, AdapterRef ref) {
        return loaded.getOrDefault(engine, Map.of()).getOrDefault(ref, Long.MIN_VALUE);
    }

    /** Expected time of a load, in milliseconds. */
    long expectedMs(String engine, AdapterRef ref) {
        return loadedNanos(engine, ref) == Long.MIN_VALUE ? FROM_STORE_MS : FROM_MEMORY_MS;
    }

    /** Drops all memory of an engine that began a new life. */
    public void forgetEngine(String engine) {
        loaded.remove(engine);
    }
}
