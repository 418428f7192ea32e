package org.quetzalvane.core.load;

/**
 * Forecast of when queued requests of one engine can run, from its recent loads and responses.
 *
 * <p>All times are in nanoseconds. Not thread-safe; guarded by the lock of its {@link EngineDispatcher}.
 */
final class LoadForecast {
    /** Weight of a new sample in the exponential moving averages. */
    private static final double SMOOTHING_FACTOR = 0.25;

    private static final double INITIAL_LOAD_INTERVAL_NANOS = 2e9;
    private static final double INITIAL_LOAD_WAIT_SHARE = 0.5;
    private static final double LOAD_WAIT_SHARE_TIME_CONSTANT_NANOS = 60e9;

    /** Age up to which an estimate is used unchanged; after it, the estimate decays. */
    private static final double MAX_FRESH_AGE_NANOS = 15e9;

    private static final double STALE_HALF_LIFE_NANOS = 5e9;

    private double loadIntervalNanos = INITIAL_LOAD_INTERVAL_NANOS;
    private double loadNanos;
    private double tokenNanos;
    private long loadIntervalUpdatedAtNanos;
    private long loadUpdatedAtNanos;
    private long loadIntervalStartedAtNanos;
    private boolean loadsPending;
    private double loadWaitShare = INITIAL_LOAD_WAIT_SHARE;
    private long loadWaitShareUpdatedAtNanos;

    /** Creates a forecast with cautious estimates of the interval between loads and of the load wait share. */
    LoadForecast(long now) {
        loadWaitShareUpdatedAtNanos = now;
        loadIntervalUpdatedAtNanos = now;
        loadUpdatedAtNanos = now;
    }

    /** Records whether requests wait for a load now; the interval between loads is measured only while they do. */
    void updatePending(boolean pending, long now) {
        loadWaitShare = loadWaitShare(now);
        loadWaitShareUpdatedAtNanos = now;
        if (pending && !loadsPending) {
            loadIntervalStartedAtNanos = now;
        }
        loadsPending = pending;
    }

    /** Returns the load wait share: the share of the recent time in which requests waited for a load, from 0 to 1. */
    double loadWaitShare(long now) {
        double weight = Math.exp((loadWaitShareUpdatedAtNanos - now) / LOAD_WAIT_SHARE_TIME_CONSTANT_NANOS);
        return weight * loadWaitShare + (loadsPending ? 1 - weight : 0);
    }

    /** Records the start of a load. */
    void loadStarted(long now) {
        loadIntervalNanos = smoothed(loadIntervalNanos, now - loadIntervalStartedAtNanos);
        loadIntervalStartedAtNanos = now;
        loadIntervalUpdatedAtNanos = now;
    }

    /** Records the duration of a successful load. */
    void loadSucceeded(long durationNanos, long now) {
        loadNanos = smoothed(loadNanos, durationNanos);
        loadUpdatedAtNanos = now;
    }

    /** Records the length and duration of a complete response. */
    void requestCompleted(int tokens, long durationNanos) {
        if (tokens > 0) {
            tokenNanos = smoothed(tokenNanos, durationNanos / (double) tokens);
        }
    }

    /** Returns the forecast time between two starts of loads, at least the time for which a load has been pending. */
    long loadIntervalNanos(long now) {
        return Math.max(
                (long) decayed(loadIntervalNanos, loadIntervalUpdatedAtNanos, now),
                loadsPending ? now - loadIntervalStartedAtNanos : 0);
    }

    /** Returns the forecast time until the load at a position of the load plan, counted from 0, has ended. */
    long nanosUntilLoaded(int position, long now) {
        long currentIntervalNanos = loadIntervalNanos(now);
        long untilFirstNanos =
                loadsPending ? Math.max(0, currentIntervalNanos - (now - loadIntervalStartedAtNanos)) : 0;
        return untilFirstNanos + position * currentIntervalNanos + (long) decayed(loadNanos, loadUpdatedAtNanos, now);
    }

    /** Returns the forecast duration of a response of the given length. */
    long responseNanos(int tokens) {
        return (long) (tokens * tokenNanos);
    }

    /** Decays an estimate that lacks recent samples, so that a high estimate does not prevent loads forever. */
    private static double decayed(double estimate, long updatedAtNanos, long now) {
        double staleDurationNanos = Math.max(0, now - updatedAtNanos - MAX_FRESH_AGE_NANOS);
        return estimate * Math.pow(0.5, staleDurationNanos / STALE_HALF_LIFE_NANOS);
    }

    private static double smoothed(double previous, double sample) {
        return previous == 0 ? sample : previous + SMOOTHING_FACTOR * (sample - previous);
    }
}
