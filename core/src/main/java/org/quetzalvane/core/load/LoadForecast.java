package org.quetzalvane.core.load;

/**
 * Forecast of when waiting requests of one engine can run, from the pace of its recent loads and answers.
 *
 * <p>Times in nanoseconds. Not thread-safe; guarded by the lock of its {@link EngineDispatcher}.
 */
final class LoadForecast {
    private static final double WEIGHT = 0.25;
    private static final double FIRST_INTERVAL_NANOS = 2e9;
    private static final double FIRST_BUSY_SHARE = 0.5;
    private static final double BUSY_MEMORY_NANOS = 60e9;

    private static final double FRESH_NANOS = 15e9;
    private static final double HALF_LIFE_NANOS = 5e9;

    private double intervalNanos = FIRST_INTERVAL_NANOS;
    private double loadNanos;
    private double tokenNanos;
    private long intervalAtNanos;
    private long loadAtNanos;
    private long countingSinceNanos;
    private boolean counting;
    private double busyShare = FIRST_BUSY_SHARE;
    private long busySinceNanos;

    /** Starts with a cautious guess at the pace. */
    LoadForecast(long now) {
        busySinceNanos = now;
        intervalAtNanos = now;
        loadAtNanos = now;
    }

    /** Notes whether anything waits for a load, from which the pace of loads is counted. */
    void waiting(boolean any, long now) {
        busyShare = busyShare(now);
        busySinceNanos = now;
        if (any && !counting) {
            countingSinceNanos = now;
        }
        counting = any;
    }

    /** Part of the recent past in which something waited for a load, from 0 to 1. */
    double busyShare(long now) {
        double kept = Math.exp((busySinceNanos - now) / BUSY_MEMORY_NANOS);
        return kept * busyShare + (counting ? 1 - kept : 0);
    }

    /** Notes the start of a load. */
    void loadStarted(long now) {
        intervalNanos = mean(intervalNanos, now - countingSinceNanos);
        countingSinceNanos = now;
        intervalAtNanos = now;
    }

    /** Notes the duration of a successful load. */
    void loadEnded(long nanos, long now) {
        loadNanos = mean(loadNanos, nanos);
        loadAtNanos = now;
    }

    /** Notes an answer's length and duration. */
    void answered(int tokens, long nanos) {
        if (tokens > 0) {
            tokenNanos = mean(tokenNanos, nanos / (double) tokens);
        }
    }

    /** Time between two starts of loads; at least the time for which one has been waited now. */
    long interval(long now) {
        return Math.max((long) faded(intervalNanos, intervalAtNanos, now), counting ? now - countingSinceNanos : 0);
    }

    /** Time until the load of the given place in the order, counted from 0, has ended. */
    long untilLoaded(int place, long now) {
        long interval = interval(now);
        long first = counting ? Math.max(0, interval - (now - countingSinceNanos)) : 0;
        return first + place * interval + (long) faded(loadNanos, loadAtNanos, now);
    }

    /** Time that an answer of a length takes. */
    long untilAnswered(int tokens) {
        return (long) (tokens * tokenNanos);
    }

    /** An estimate that nothing has confirmed for long fades, so that something is tried again. */
    private static double faded(double estimate, long at, long now) {
        double stale = Math.max(0, now - at - FRESH_NANOS);
        return estimate * Math.pow(0.5, stale / HALF_LIFE_NANOS);
    }

    private static double mean(double before, double sample) {
        return before == 0 ? sample : before + WEIGHT * (sample - before);
    }
}
