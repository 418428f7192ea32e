package org.quetzalvane.core.choice;

/**
 * Decides whether a request to an engine is sent on, and how urgently.
 *
 * <p>Answers the pattern of a burst beyond what the engines can read: a prompt that would wait far past its latency
 * objective is refused at once, less urgent ranks first, so that those admitted are on time. Large prompts are measured
 * by the same wait as small ones. Stateless and thread-safe.
 */
public final class Admission {
    /** Expected wait, as a part of the objective, beyond which the least urgent rank is refused. */
    private static final double LEAST_URGENT_LIMIT = 1.2;
    /** Added to that limit for each rank above; ranks 0 to 2 are in use. */
    private static final double LIMIT_PER_RANK = 0.4;

    private static final int LEAST_URGENT_RANK = 2;
    /** Shortest time after which a refused caller is asked to come back, ms: a tenth of a usual objective. */
    private static final long LEAST_RETRY_AFTER_MS = 100;

    /** A refusal's retry time in milliseconds, or -1 when the request is admitted. */
    public long retryAfterMs(int rank, long objectiveMs, double waitMs) {
        double limit = limitMs(rank, objectiveMs);
        if (waitMs <= limit) {
            return -1;
        }
        return Math.max(LEAST_RETRY_AFTER_MS, Math.round(waitMs - limit));
    }

    private static double limitMs(int rank, long objectiveMs) {
        int above = Math.max(0, LEAST_URGENT_RANK - rank);
        return objectiveMs * (LEAST_URGENT_LIMIT + above * LIMIT_PER_RANK);
    }
}
