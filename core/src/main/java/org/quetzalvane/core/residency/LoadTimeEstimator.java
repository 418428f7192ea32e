package org.quetzalvane.core.residency;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntSupplier;

import org.quetzalvane.core.routes.AdapterRef;
import org.quetzalvane.core.time.Scheduler;

/**
 * Estimates how long loads take, and tracks when adapters were loaded.
 *
 * <p>Handles loads of many rare adapters at once: the store serves one load per engine at full speed, and at least
 * eight; beyond that, loads take longer in proportion, so a load counts as finished only after its estimated time.
 * Confined to the event loop.
 */
public final class LoadTimeEstimator {
    /** Load from the store at full speed, ms: the published 250 ms and the network delay of the order. */
    static final long STORE_LOAD_MS = 265;
    /**
     * Load of an adapter that the engine had resident before, ms: a tenth of the above and the network delay of the
     * order.
     */
    private static final long MEMORY_LOAD_MS = 35;

    /** Loads that the store serves at full speed even for few engines, as published for the users' deployments. */
    private static final int MIN_FULL_SPEED_LOADS = 8;

    private final Scheduler scheduler;
    private final IntSupplier peerLoads;
    private final IntSupplier engines;
    private final Map<String, Map<AdapterRef, Long>> loadedNanosByEngine = new HashMap<>();
    private final List<Long> expectedEndsNanos = new ArrayList<>();

    /**
     * Creates the estimator.
     *
     * @param peerLoads loads from the store in flight at the other nodes, as last reported
     * @param engines number of engines listed
     */
    public LoadTimeEstimator(Scheduler scheduler, IntSupplier peerLoads, IntSupplier engines) {
        this.scheduler = scheduler;
        this.peerLoads = peerLoads;
        this.engines = engines;
    }

    /** Counts a load that was accepted; returns its expected duration in milliseconds. */
    long loadStarted(String engine, AdapterRef ref) {
        if (lastLoadedNanos(engine, ref) != Long.MIN_VALUE) {
            return MEMORY_LOAD_MS;
        }
        int fullSpeedLoads = Math.max(MIN_FULL_SPEED_LOADS, engines.getAsInt());
        double loadFactor = (double) (1 + loadsInFlight() + peerLoads.getAsInt()) / fullSpeedLoads;
        long durationMs = Math.round(STORE_LOAD_MS * Math.max(1, loadFactor));
        expectedEndsNanos.add(scheduler.nanoTime() + durationMs * 1_000_000);
        return durationMs;
    }

    void recordLoaded(String engine, AdapterRef ref) {
        loadedNanosByEngine.computeIfAbsent(engine, e -> new HashMap<>()).put(ref, scheduler.nanoTime());
    }

    /** When the adapter was last loaded there, on the scheduler's clock; {@link Long#MIN_VALUE} if never. */
    long lastLoadedNanos(String engine, AdapterRef ref) {
        return loadedNanosByEngine.getOrDefault(engine, Map.of()).getOrDefault(ref, Long.MIN_VALUE);
    }

    /** Loads from the store in flight under this node's orders. */
    public int loadsInFlight() {
        long now = scheduler.nanoTime();
        expectedEndsNanos.removeIf(end -> end <= now);
        return expectedEndsNanos.size();
    }

    /** Removes the load times of an engine that has started a new instance. */
    public void removeEngine(String engine) {
        loadedNanosByEngine.remove(engine);
    }
}
