package org.quetzalvane.core.residency;

import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;

import org.quetzalvane.core.routes.AdapterRef;
import org.quetzalvane.core.time.Scheduler;

/**
 * Estimates how long loads take, and tracks when adapters were loaded.
 *
 * <p>The weight store serves some number of loads at full speed, {@link StoreConcurrency}; beyond that, all loads in
 * flight slow down in proportion, also by those that start later. Neither that number nor the duration at full speed is
 * published to the nodes; both follow the requests that engines refuse because a load had not ended when it was
 * expected to. An engine whose loads do so far more often than those of the others does not count, so that it does not
 * slow them down. Confined to the event loop.
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
    /** Loads that an engine is given at most at a time by the platform. */
    private static final int MAX_LOADS_PER_ENGINE = 4;
    /** First value of the loads that the weight store serves at full speed, if there are fewer engines. */
    private static final int MIN_FULL_SPEED_LOADS = 8;
    /** Loads in flight, as a part of those served at full speed, from which a load may be slowed. */
    private static final double ASSUMED_FULL_LOAD_FACTOR = 0.5;
    /** Progress that counts as none, ms. */
    private static final double ROUNDING_MS = 1e-3;
    /** Weight of the last load in an engine's share of loads that had not ended when expected. */
    private static final double TOO_SHORT_SHARE_WEIGHT = 0.2;
    /** Share of such loads from which an engine may be an exception. */
    private static final double EXCEPTIONAL_SHARE = 0.5;

    private final Scheduler scheduler;
    private final IntSupplier peerLoads;
    private final IntSupplier engines;
    private final Map<String, Map<AdapterRef, Long>> loadedNanosByEngine = new HashMap<>();
    private final Map<String, Map<AdapterRef, Speed>> lastLoads = new HashMap<>();
    private final Map<String, Double> tooShortShares = new HashMap<>();
    /** Loads from the weight store that have not ended, and the progress at which each ends. */
    private final Map<LoadKey, Double> endsMs = new HashMap<>();

    private StoreConcurrency concurrency;
    private double storeLoadMs = STORE_LOAD_MS;
    /** Progress of a load that has been in flight since this node's first load, in ms at full speed. */
    private double progressMs;

    private long progressNanos;

    private record LoadKey(String engine, AdapterRef adapter) {}

    /** What the duration of a load depends on. */
    private enum Speed {
        FROM_MEMORY,
        /** At full speed, whatever the estimate of the loads that the store serves so. */
        FULL,
        /** At full speed if that estimate is not too high. */
        ASSUMED_FULL,
        SLOWED
    }

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
            recordSpeed(engine, ref, Speed.FROM_MEMORY);
            return MEMORY_LOAD_MS;
        }
        advanceProgress();
        endsMs.put(new LoadKey(engine, ref), progressMs + storeLoadMs);
        double loadFactor = loadFactor();
        recordSpeed(engine, ref, speed(loadFactor));
        long durationMs = Math.round(storeLoadMs * Math.max(1, loadFactor));
        storeLoadMs = Math.max(STORE_LOAD_MS, storeLoadMs - STORE_LOAD_DECAY_MS);
        return durationMs;
    }

    /** Time until a load is expected to end, ms; loads that started later may have slowed it down. */
    long remainingMs(String engine, AdapterRef ref) {
        advanceProgress();
        Double endMs = endsMs.get(new LoadKey(engine, ref));
        if (endMs == null) {
            return 0;
        }
        recordSpeed(engine, ref, Speed.SLOWED);
        return (long) Math.ceil((endMs - progressMs) * Math.max(1, loadFactor()));
    }

    /** Loads in flight at all nodes relative to those that the weight store serves at full speed. */
    private double loadFactor() {
        int most = Math.max(MIN_FULL_SPEED_LOADS, maxLoads());
        int reported = Math.min(most, Math.max(0, peerLoads.getAsInt()));
        return (endsMs.size() + reported) / concurrency().loads();
    }

    /** Loads that the listed engines could have under way. */
    private int maxLoads() {
        return MAX_LOADS_PER_ENGINE * engines.getAsInt();
    }

    /** Adds the progress since the last call, up to each end of a load, from which on the others are faster. */
    private void advanceProgress() {
        long now = scheduler.nanoTime();
        double leftMs = (now - progressNanos) / 1e6;
        progressNanos = now;
        while (leftMs > ROUNDING_MS && !endsMs.isEmpty()) {
            double slowdown = Math.max(1, loadFactor());
            double nextEndMs = endsMs.values().stream().min(Double::compare).orElseThrow();
            double stepMs = Math.min(leftMs / slowdown, nextEndMs - progressMs);
            progressMs += stepMs;
            leftMs -= stepMs * slowdown;
            endsMs.values().removeIf(end -> end <= progressMs + ROUNDING_MS);
        }
    }

    private static Speed speed(double loadFactor) {
        if (loadFactor > 1) {
            return Speed.SLOWED;
        }
        return loadFactor > ASSUMED_FULL_LOAD_FACTOR ? Speed.ASSUMED_FULL : Speed.FULL;
    }

    private void recordSpeed(String engine, AdapterRef ref, Speed speed) {
        lastLoads.computeIfAbsent(engine, e -> new HashMap<>()).put(ref, speed);
    }

    /** The estimate, which starts when the first engines are known. */
    private StoreConcurrency concurrency() {
        if (concurrency == null) {
            concurrency = new StoreConcurrency(scheduler, Math.max(MIN_FULL_SPEED_LOADS, engines.getAsInt()));
        }
        return concurrency;
    }

    /** Number of loads that the weight store is estimated to serve at full speed. */
    public double fullSpeedLoads() {
        return concurrency().loads();
    }

    /** Records that a load has ended as expected and requests are sent to it, which the engine may still refuse. */
    void recordInTime(String engine, AdapterRef ref) {
        tooShortShares.merge(engine, 0.0, (share, none) -> share * (1 - TOO_SHORT_SHARE_WEIGHT));
        Speed speed = lastSpeed(engine, ref);
        if (speed == Speed.SLOWED || speed == Speed.ASSUMED_FULL) {
            concurrency().loadInTime(speed == Speed.SLOWED, maxLoads());
        }
    }

    /** Counts a load that had not ended when expected as in flight for a further while. */
    void loadContinues(String engine, AdapterRef ref) {
        advanceProgress();
        if (lastSpeed(engine, ref) != Speed.FROM_MEMORY) {
            double extensionMs = EngineController.REFUSED_LOAD_EXTENSION_MS / Math.max(1, loadFactor());
            endsMs.put(new LoadKey(engine, ref), progressMs + extensionMs);
        }
    }

    /** Records that a load had not ended when it was expected to. */
    void recordTooShort(String engine, AdapterRef ref) {
        loadContinues(engine, ref);
        tooShortShares.merge(engine, TOO_SHORT_SHARE_WEIGHT, Double::sum);
        if (isException(engine)) {
            return;
        }
        Speed speed = lastSpeed(engine, ref);
        if (speed == Speed.SLOWED || speed == Speed.ASSUMED_FULL) {
            concurrency().loadTooShort();
        } else if (speed == Speed.FULL) {
            storeLoadMs = Math.min(MAX_STORE_LOAD_MS, storeLoadMs + STORE_LOAD_STEP_MS);
        }
    }

    /** Whether the loads of an engine take longer than expected far more often than those of the others. */
    private boolean isException(String engine) {
        double share = tooShortShares.get(engine);
        double[] all = tooShortShares.values().stream()
                .mapToDouble(Double::doubleValue)
                .sorted()
                .toArray();
        return share > EXCEPTIONAL_SHARE && share > 2 * all[all.length / 2];
    }

    private Speed lastSpeed(String engine, AdapterRef ref) {
        return lastLoads.getOrDefault(engine, Map.of()).get(ref);
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
        advanceProgress();
        return endsMs.size();
    }

    /** Removes what is known of the loads of an engine that has started a new instance. */
    public void removeEngine(String engine) {
        loadedNanosByEngine.remove(engine);
        endsMs.keySet().removeIf(load -> load.engine().equals(engine));
        lastLoads.remove(engine);
        tooShortShares.remove(engine);
    }
}
