package org.quetzalvane.core.choice;

/**
 * Decides whether a request to an engine is admitted.
 *
 * <p>Handles bursts beyond the engines' prefill rate: a request whose expected wait is far beyond its latency objective
 * is refused at once, lower priorities first, so that the admitted requests are on time. Requests with large prompts
 * are judged by the same wait as those with small ones. Stateless and thread-safe.
 */
public final class Admission {
    /** Expected wait, as a multiple of the latency objective, beyond which the lowest priority is refused. */
    private static final double LOWEST_PRIORITY_LIMIT_FACTOR = 1.2;
    /** Added to that factor for each step of higher priority; priorities 0 (highest) to 2 are in use. */
    private static final double LIMIT_FACTOR_PER_PRIORITY = 0.4;

    private static final int LOWEST_PRIORITY = 2;
    /** Shortest retry time sent to a refused caller, ms: a tenth of a usual latency objective. */
    private static final long MIN_RETRY_AFTER_MS = 100;

    /** Retry time in milliseconds if the request is refused, or -1 if it is admitted. */
    public long retryAfterMs(int priority, long objectiveMs, double expectedWaitMs) {
        double limit = limitMs(priority, objectiveMs);
        if (expectedWaitMs <= limit) {
            return -1;
        }
        return Math.max(MIN_RETRY_AFTER_MS, Math.round(expectedWaitMs - limit));
    }

    private static double limitMs(int priority, long objectiveMs) {
        int above = Math.max(0, LOWEST_PRIORITY - priority);
        return objectiveMs * (LOWEST_PRIORITY_LIMIT_FACTOR + above * LIMIT_FACTOR_PER_PRIORITY);
    }
}
