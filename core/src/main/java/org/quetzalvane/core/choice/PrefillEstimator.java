package org.quetzalvane.core.choice;

/**
 * Estimates how long a request waits for its first token: behind a given number of pending prompt tokens, and for a
 * request slot.
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

    /** Initial duration of a run from its first token to its end, ms. */
    private static final double INITIAL_RUN_MS = 2_000;

    private double tokensPerMs = INITIAL_TOKENS_PER_MS;
    private double runMs = INITIAL_RUN_MS;

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

    /** Adds the duration of a completed run from its first token to its end, in milliseconds. */
    public void recordRun(double ms) {
        runMs += EWMA_WEIGHT * (ms - runMs);
    }

    /** Mean time from the first token to the end of a run, in milliseconds. */
    public double runMs() {
        return runMs;
    }

    /** Expected time between two runs that end on a busy engine, in milliseconds. */
    public double slotIntervalMs(int requestSlots) {
        return runMs / Math.max(1, requestSlots);
    }

    /** Expected wait for the first token, in milliseconds. */
    public double waitMs(long pendingTokens) {
        return pendingTokens / tokensPerMs;
    }
}
