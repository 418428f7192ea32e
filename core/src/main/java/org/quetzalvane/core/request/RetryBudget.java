package org.quetzalvane.core.request;

/**
 * Limits second attempts to a share of the traffic, so that faults do not multiply load.
 *
 * <p>Invariant: at any time the retries granted are at most {@code share} times the requests counted. Thread-safe; its
 * monitor is a leaf.
 */
public final class RetryBudget {
    private static final double DEFAULT_SHARE = 0.1;

    private final double share;
    private final double maxSaved;
    private double saved;

    private RetryBudget(double share, double maxSaved) {
        this.share = share;
        this.maxSaved = maxSaved;
    }

    /** A tenth of the traffic; after a quiet time at most so many retries at once. */
    public static RetryBudget tenth(int maxSaved) {
        return new RetryBudget(DEFAULT_SHARE, maxSaved);
    }

    /** Counts a request that comes in. */
    public synchronized void counted() {
        saved = Math.min(maxSaved, saved + share);
    }

    /** Takes the permission for one retry, if there is one. */
    public synchronized boolean tryTake() {
        if (saved < 1) {
            return false;
        }
        saved--;
        return true;
    }
}
