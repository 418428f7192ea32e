package org.quetzalvane.core.choice;

/**
 * Estimates how long a request waits for its first token behind a given number of pending prompt tokens.
 *
 * <p>Confined to the event loop.
 */
public final class PrefillEstimator {
    /** Initial prefill rate, prompt tokens per ms; below the rates published for engines, 19 and 20 tokens per ms. */
    private static final double INITIAL_TOKENS_PER_MS = 12;
    /** Weight of the newest sample in the moving average, which covers about twenty samples. */
    private static final double EWMA_WEIGHT = 0.05;
    /** Pending tokens from which a sample is used; with fewer, the fixed cost of a step dominates the wait. */
    private static final long MIN_TOKENS = 3_000;

    /** Limits of the rate of one sample, prompt tokens per ms. */
    private static final double MIN_TOKENS_PER_MS = 2;

    private static final double MAX_TOKENS_PER_MS = 40;

    private double tokensPerMs = INITIAL_TOKENS_PER_MS;

    /**
     * Adds the wait for a first token, in milliseconds.
     *
     * @param pendingTokens prompt tokens pending at the endpoint when the request was sent, including its own
     */
    public void recordWait(long pendingTokens, double waitMs) {
        if (pendingTokens < MIN_TOKENS || waitMs <= 0) {
            return;
        }
        double rate = Math.max(MIN_TOKENS_PER_MS, Math.min(MAX_TOKENS_PER_MS, pendingTokens / waitMs));
        tokensPerMs += EWMA_WEIGHT * (rate - tokensPerMs);
    }

    /** Expected wait for the first token, in milliseconds. */
    public double waitMs(long pendingTokens) {
        return pendingTokens / tokensPerMs;
    }
}
