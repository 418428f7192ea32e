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
 * <p>The weight store serves max({@link #MIN_FULL_SPEED_LOADS}, number of engines) loads at full speed; beyond that,
 * the duration grows in proportion. The duration at full speed, which differs between deployments and is not published
 * to the nodes, starts at {@link #STORE_LOAD_MS} and follows the requests that engines refuse because a load had not
 * ended when it was expected to. Confined to the event loop.
 */
public final class LoadTimeEstimator {
    /** Load of an adapter from the weight store at full speed, ms: the published 250 ms and 15 ms for the network. */
    static final long STORE_LOAD_MS = 265;
    /** Longest duration of a load at full speed, ms. */
    private static final long MAX_STORE_LOAD_MS = 4 * STORE_LOAD_MS;
    /** Added to the duration at full speed for each load that had not ended when expected, ms. */
    static final double STORE_LOAD_STEP_MS = 10;
    /** Subtracted for each load: about two loads in a hundred are expected to end too early. */
    private static final double STORE_LOAD_DECAY_MS = 0.2;
    /**
     * Load of an adapter that this node has loaded on this instance before, ms: about a tenth of a load from the weight
     * store and the network delay of the order.
     */
    private static final long MEMORY_LOAD_MS = 35;

    /** Published number of loads that the weight store serves at full speed however few engines there are. */
    private static final int MIN_FULL_SPEED_LOADS = 8;

    private final Scheduler scheduler;
    private final IntSupplier peerLoads;
    private final IntSupplier engines;
    private final Map<String, Map<AdapterRef, Long>> loadedNanosByEngine = new HashMap<>();
    private final List<Long> expectedEndsNanos = new ArrayList<>();
    private double storeLoadMs = STORE_LOAD_MS;

    /**
     * Creates the estimator.
     *
     * @param peerLoads loads from the weight store in flight at the other nodes, as last reported
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
        long durationMs = Math.round(storeLoadMs * Math.max(1, loadFactor));
        storeLoadMs = Math.max(STORE_LOAD_MS, storeLoadMs - STORE_LOAD_DECAY_MS);
        expectedEndsNanos.add(scheduler.nanoTime() + durationMs * 1_000_000);
        return durationMs;
    }

    /** Records that a load had not ended when it was expected to. */
    void recordTooShort() {
        storeLoadMs = Math.min(MAX_STORE_LOAD_MS, storeLoadMs + STORE_LOAD_STEP_MS);
    }

    void recordLoaded(String engine, AdapterRef ref) {
        loadedNanosByEngine.computeIfAbsent(engine, e -> new HashMap<>()).put(ref, scheduler.nanoTime());
    }

    /**
     * When this node last recorded the adapter as loaded on the engine, on the scheduler's clock; {@link
     * Long#MIN_VALUE} if never.
     */
    long lastLoadedNanos(String engine, AdapterRef ref) {
        return loadedNanosByEngine.getOrDefault(engine, Map.of()).getOrDefault(ref, Long.MIN_VALUE);
    }

    /** Loads from the weight store in flight under this node's orders, by their expected ends. */
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
