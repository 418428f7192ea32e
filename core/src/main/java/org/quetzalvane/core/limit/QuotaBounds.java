package org.quetzalvane.core.limit;

/**
 * Bound that the use of an allowance must keep: in any window, at most (rate x window + burst) x (1 + overshoot) +
 * slack. Immutable.
 *
 * @param windowMs length of the window, milliseconds
 * @param overshoot part of the allowance by which it may be exceeded
 * @param slack units by which it may be exceeded further; no decision relies on it
 */
public record QuotaBounds(long windowMs, double overshoot, double slack) {
    /** Bound of a deployment whose settings state none. */
    public static final QuotaBounds DEFAULT = new QuotaBounds(8_000, 0.1, 0);

    private static final long MAX_LEASE_MS = 500;

    /**
     * Time for which units that were granted in advance may be used, ms. What is granted before a window and used in it
     * is then at most half of the permitted overshoot.
     */
    public long leaseMs() {
        return Math.min(MAX_LEASE_MS, (long) (overshoot * windowMs / 2));
    }

    /**
     * Part of the nodes from which on a holder grants the full rate. The nodes that it does not see may use their part
     * as well, so that all together use less than half of the permitted overshoot.
     */
    public double fullRatePart() {
        return 1 - overshoot / 2;
    }
}
