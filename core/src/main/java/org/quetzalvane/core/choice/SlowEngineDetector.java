package org.quetzalvane.core.choice;

import java.util.HashMap;
import java.util.Map;

/**
 * Detects engines whose mean gap between chunks, as observed by this node, is far greater than the median of the other
 * engines.
 *
 * <p>Such an engine still streams, so neither timeouts nor failures show it. A slowdown of all engines is not detected.
 * Confined to the event loop.
 */
final class SlowEngineDetector {
    /**
     * Multiple of the median gap of the other engines from which an engine is slow; prompts in prefill double the gap
     * at most.
     */
    private static final double SLOW_FACTOR = 3;
    /** Shortest mean gap of a slow engine, ms: callers notice gaps from 300 ms, and the mean hides the longest ones. */
    private static final double MIN_SLOW_GAP_MS = 200;
    /** Samples of an engine from which its mean is used; a stream yields as many in half a second. */
    private static final int MIN_SAMPLES = 8;
    /** Weight of the newest gap in the moving average, which covers about ten gaps. */
    private static final double EWMA_WEIGHT = 0.1;

    private final Map<String, GapStats> byEngine = new HashMap<>();

    /** Adds a gap between two chunks; returns whether the engine is slow. */
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
