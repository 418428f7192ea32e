package org.quetzalvane.core.residency;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntSupplier;

import org.quetzalvane.core.routes.AdapterRef;
import org.quetzalvane.core.time.Scheduler;

/**
 * How long loads are expected to take, and when adapters were loaded.
 *
 * <p>Answers the pattern of many rare adapters at once: the store serves one load for each engine at full speed, at
 * least eight, and more of them take longer in proportion, so a load counts as done only after that time. Confined to
 * the event loop.
 */
public final class LoadTimeEstimator {
    /** An adapter's way from the store at full speed, ms: the published 250 ms and the way of the order. */
    static final long FROM_STORE_MS = 265;
    /** An adapter that the engine held before, ms: a tenth of the above and the way of the order. */
    private static final long FROM_MEMORY_MS = 35;

    /** Loads that the store serves at full speed even for few engines, as published for the users' deployments. */
    private static final int LEAST_AT_FULL_SPEED = 8;

    private final Scheduler scheduler;
    private final IntSupplier loadsOfPeers;
    private final IntSupplier engines;
    private final Map<String, Map<AdapterRef, Long>> loaded = new HashMap<>();
    private final List<Long> expectedEnds = new ArrayList<>();

    /**
     * Builds the times.
     *
     * @param loadsOfPeers loads from the store that the other nodes last reported to be on their way
     * @param engines number of engines listed
     */
    public LoadTimeEstimator(Scheduler scheduler, IntSupplier loadsOfPeers, IntSupplier engines) {
        this.scheduler = scheduler;
        this.loadsOfPeers = loadsOfPeers;
        this.engines = engines;
    }

    /** Counts a load that was accepted; gives the time that it is expected to take, in milliseconds. */
    long started(String engine, AdapterRef ref) {
        if (loadedNanos(engine, ref) != Long.MIN_VALUE) {
            return FROM_MEMORY_MS;
        }
        int fullSpeed = Math.max(LEAST_AT_FULL_SPEED, engines.getAsInt());
        double share = (double) (1 + loadsInFlight() + loadsOfPeers.getAsInt()) / fullSpeed;
        long ms = Math.round(FROM_STORE_MS * Math.max(1, share));
        expectedEnds.add(scheduler.nanoTime() + ms * 1_000_000);
        return ms;
    }

    void loaded(String engine, AdapterRef ref) {
        loaded.computeIfAbsent(engine, e -> new HashMap<>()).put(ref, scheduler.nanoTime());
    }

    /** When the adapter was last loaded there, on the scheduler's clock; {@link Long#MIN_VALUE} if never. */
    long loadedNanos(String engine, AdapterRef ref) {
        return loaded.getOrDefault(engine, Map.of()).getOrDefault(ref, Long.MIN_VALUE);
    }

    /** Loads from the store that this node's orders have on their way. */
    public int loadsInFlight() {
        long now = scheduler.nanoTime();
        expectedEnds.removeIf(end -> end <= now);
        return expectedEnds.size();
    }

    /** Drops all memory of an engine that began a new life. */
    public void removeEngine(String engine) {
        loaded.remove(engine);
    }
}
