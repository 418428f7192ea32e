package org.quetzalvane.core.choice;

/**
 * Learns how long a prompt waits for its first event behind a given number of pending prompt tokens.
 *
 * <p>Confined to the event loop.
 */
public final class PrefillEstimator {
    /** Prompt tokens per ms before anything was measured; below the published rates of 19 and 20 of bare engines. */
    private static final double INITIAL_TOKENS_PER_MS = 12;
    /** Share of the newest measurement; about twenty measurements are remembered. */
    private static final double NEWEST_WEIGHT = 0.05;
    /** Fewest pending tokens that say something of the rate; less is lost in the fixed cost of a step. */
    private static final long LEAST_TOKENS = 3_000;

    private static final double SLOWEST_TOKENS_PER_MS = 2;
    private static final double FASTEST_TOKENS_PER_MS = 40;

    private double tokensPerMs = INITIAL_TOKENS_PER_MS;

    /** Takes a measured wait for a first event behind the tokens that were pending when the request was sent. */
    public void recordWait(long pendingTokens, double waitMs) {
        if (pendingTokens < LEAST_TOKENS || waitMs <= 0) {
            return;
        }
        double rate = Math.max(SLOWEST_TOKENS_PER_MS, Math.min(FASTEST_TOKENS_PER_MS, pendingTokens / waitMs));
        tokensPerMs += NEWEST_WEIGHT * (rate - tokensPerMs);
    }

    /** Expected wait for the first event, in milliseconds. */
    public double waitMs(long pendingTokens) {
        return pendingTokens / tokensPerMs;
    }
}
