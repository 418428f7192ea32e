package org.quetzalvane.core.choice;

import java.util.HashMap;
import java.util.Map;

/**
 * Mean inter-token gap of each engine, as seen by this node.
 *
 * <p>Handles one engine that is much slower than its peers but still streams, so that neither a timeout nor a failure
 * reveals it. An engine is compared with its peers only, so that a load that slows down all of them reveals none.
 * Confined to the event loop.
 */
final class SlowEngineDetector {
    /** Multiple of the peers' usual gap from which an engine is slow; prompts in prefill double the gap at most. */
    private static final double SLOW_FACTOR = 3;
    /** Shortest mean gap of a slow engine, ms: callers notice gaps from 300 ms, and the mean hides the longest ones. */
    private static final double MIN_SLOW_GAP_MS = 200;
    /** Samples of an engine from which its mean is used; a stream yields as many in half a second. */
    private static final int MIN_SAMPLES = 8;
    /** Weight of the newest gap in the moving average, which covers about ten gaps. */
    private static final double EWMA_WEIGHT = 0.1;

    private final Map<String, GapStats> byEngine = new HashMap<>();

    /** Adds a gap; returns whether the engine is far slower than its peers. */
    boolean recordGap(String engine, double gapMs) {
        GapStats s = byEngine.computeIfAbsent(engine, e -> new GapStats());
        s.samples++;
        s.meanMs += (s.samples <= MIN_SAMPLES ? 1.0 / s.samples : EWMA_WEIGHT) * (gapMs - s.meanMs);
        return hasEnoughSamples(s)
                && s.meanMs > MIN_SLOW_GAP_MS
                && s.meanMs > SLOW_FACTOR * medianGapOfOthersMs(engine);
    }

    /** Removes all state of an earlier instance of the engine. */
    void reset(String engine) {
        byEngine.remove(engine);
    }

    /** Median of the other engines' means; the maximum value if there are none, so that no engine is slow. */
    private double medianGapOfOthersMs(String engine) {
        double[] others = byEngine.entrySet().stream()
                .filter(e -> !e.getKey().equals(engine) && hasEnoughSamples(e.getValue()))
                .mapToDouble(e -> e.getValue().meanMs)
                .sorted()
                .toArray();
        return others.length == 0 ? Double.MAX_VALUE : others[others.length / 2];
    }

    private static boolean hasEnoughSamples(GapStats s) {
        return s.samples >= MIN_SAMPLES;
    }

    private static final class GapStats {
        private long samples;
        private double meanMs;
    }
}
