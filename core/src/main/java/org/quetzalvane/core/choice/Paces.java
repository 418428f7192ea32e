package org.quetzalvane.core.choice;

import java.util.HashMap;
import java.util.Map;

/**
 * How fast each engine makes events, as the pauses between them that this node saw.
 *
 * <p>Answers the pattern of one engine that is much slower than its peers while it still sends: neither silence nor a
 * failure gives it away. An engine is told apart only by its peers, so that a load that slows all of them alike shows
 * none. Confined to the event loop.
 */
final class Paces {
    /** Pause, as a multiple of the usual one, that tells a slow engine: prompts being read double it at most. */
    private static final double SLOW_FACTOR = 3;
    /** Least mean pause that tells a slow engine, ms: callers notice pauses from 300 ms, and means hide the longest. */
    private static final double SLOW_MS = 200;
    /** Pauses of an engine before its mean says something; a stream makes as many in half a second. */
    private static final int LEAST_SAMPLES = 8;
    /** Weight of the newest pause; the last ten or so are remembered. */
    private static final double NEWEST_WEIGHT = 0.1;

    private final Map<String, Pace> byEngine = new HashMap<>();

    /** Takes a pause between two events; tells whether the engine is far slower than its peers. */
    boolean slow(String engine, double pauseMs) {
        Pace p = byEngine.computeIfAbsent(engine, e -> new Pace());
        p.samples++;
        p.meanMs += (p.samples <= LEAST_SAMPLES ? 1.0 / p.samples : NEWEST_WEIGHT) * (pauseMs - p.meanMs);
        return known(p) && p.meanMs > SLOW_MS && p.meanMs > SLOW_FACTOR * medianOfOthers(engine);
    }

    /** Forgets what was seen of an earlier life of the engine. */
    void reset(String engine) {
        byEngine.remove(engine);
    }

    /** Median of the means of the other engines; without any, no engine is slow. */
    private double medianOfOthers(String engine) {
        double[] others = byEngine.entrySet().stream()
                .filter(e -> !e.getKey().equals(engine) && known(e.getValue()))
                .mapToDouble(e -> e.getValue().meanMs)
                .sorted()
                .toArray();
        return others.length == 0 ? Double.MAX_VALUE : others[others.length / 2];
    }

    private static boolean known(Pace p) {
        return p.samples >= LEAST_SAMPLES;
    }

    private static final class Pace {
        private long samples;
        private double meanMs;
    }
}
