package org.quetzalvane.core.routes;

/**
 * What a client account may use over all nodes together. Immutable.
 *
 * @param unit what is counted
 * @param perSecond units per second; 0 for no limit, whatever the burst
 * @param burst units beyond the rate; 0 for none, so that a request is granted once the one before is paid for
 * @param defaultCost units of a request that does not state its tokens, if tokens are counted
 */
public record Allowance(Unit unit, double perSecond, double burst, long defaultCost) {
    /** Allowance of an account without a limit. */
    public static final Allowance UNLIMITED = new Allowance(Unit.REQUESTS, 0, 0, 1);

    /** What an allowance counts. */
    public enum Unit {
        REQUESTS,
        TOKENS
    }

    /** Whether the account's use is limited. */
    public boolean isLimited() {
        return perSecond > 0;
    }

    /**
     * Units that a request counts.
     *
     * @param statedTokens prompt tokens and maximum output tokens that the request states, or -1 if it states none
     */
    public long cost(long statedTokens) {
        if (unit == Unit.REQUESTS) {
            return 1;
        }
        return statedTokens < 0 ? defaultCost : statedTokens;
    }
}
