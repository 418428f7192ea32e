package org.quetzalvane.core.choice;

/**
 * Decides whether a request to an engine is admitted.
 *
 * <p>A request is refused at once if its expected wait exceeds a multiple of its latency objective that depends on its
 * priority, so that in bursts beyond the engines' prefill rate the admitted requests are on time and lower priorities
 * are refused first. Requests with large prompts are judged by the same wait as those with small ones. Stateless and
 * thread-safe.
 */
public final class Admission {
    /** Expected wait, as a multiple of the latency objective, beyond which the lowest priority is refused. */
    private static final double LOWEST_PRIORITY_LIMIT_FACTOR = 1.2;
    /** Added to {@link #LOWEST_PRIORITY_LIMIT_FACTOR} for each step of higher priority. */
    private static final double LIMIT_FACTOR_PER_PRIORITY = 0.4;

    /** Lowest priority of a route; 0 is the highest. Lower ones get the same limit. */
    private static final int LOWEST_PRIORITY = 2;
    /** Shortest retry time sent to a refused caller, ms: a tenth of a usual latency objective. */
    private static final long MIN_RETRY_AFTER_MS = 100;

    /**
     * Retry time in milliseconds if the request is refused, or -1 if it is admitted.
     *
     * @param priority priority of the route, 0 is the highest
     * @param objectiveMs latency objective, in milliseconds
     * @param expectedWaitMs expected wait for the first token, in milliseconds
     */
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
