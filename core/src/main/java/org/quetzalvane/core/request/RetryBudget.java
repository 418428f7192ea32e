package org.quetzalvane.core.request;

/**
 * Limits retries to a share of the requests, so that failures do not multiply the traffic.
 *
 * <p>Invariant: at any time the number of granted retries is at most {@code retryShare} times the number of recorded
 * requests. Thread-safe; its monitor is a leaf in the lock order.
 */
public final class RetryBudget {
    private static final double DEFAULT_RETRY_SHARE = 0.1;

    private final double retryShare;
    private final double maxBalance;
    private double balance;

    private RetryBudget(double retryShare, double maxBalance) {
        this.retryShare = retryShare;
        this.maxBalance = maxBalance;
    }

    /**
     * Returns a budget of 0.1 retries for each request; unused retries add up to a balance of at most
     * {@code maxBalance}, for bursts.
     */
    public static RetryBudget withDefaultShare(int maxBalance) {
        return new RetryBudget(DEFAULT_RETRY_SHARE, maxBalance);
    }

    /** Records a new request. */
    public synchronized void recordRequest() {
        balance = Math.min(maxBalance, balance + retryShare);
    }

    /** Takes one retry from the balance; returns false if the balance is less than one. */
    public synchronized boolean tryAcquire() {
        if (balance < 1) {
            return false;
        }
        balance--;
        return true;
    }
}
