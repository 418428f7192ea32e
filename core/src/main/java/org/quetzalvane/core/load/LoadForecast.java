package org.quetzalvane.core.load;

/**
 * Forecast of when waiting requests of one engine can run, from the pace of its recent loads and answers.
 *
 * <p>Times in nanoseconds. Not thread-safe; guarded by the lock of its {@link EngineDispatcher}.
 */
final class LoadForecast {
    private static final double WEIGHT = 0.25;

    private double intervalNanos;
    private double loadNanos;
    private double tokenNanos;
    private long countingSinceNanos;
    private boolean counting;

    /** Notes whether anything waits for a load, from which the pace of loads is counted. */
    void waiting(boolean any, long now) {
        if (any && !counting) {
            countingSinceNanos = now;
        }
        counting = any;
    }

    /** Notes the start of a load. */
    void loadStarted(long now) {
        intervalNanos = mean(intervalNanos, now - countingSinceNanos);
        countingSinceNanos = now;
    }

    /** Notes the duration of a successful load. */
    void loadEnded(long nanos) {
        loadNanos = mean(loadNanos, nanos);
    }

    /** Notes an answer's length and duration. */
    void answered(int tokens, long nanos) {
        if (tokens > 0) {
            tokenNanos = mean(tokenNanos, nanos / (double) tokens);
        }
    }

    /** Time between two starts of loads; at least the time for which one has been waited now. */
    long interval(long now) {
        return Math.max((long) intervalNanos, counting ? now - countingSinceNanos : 0);
    }

    /** Time until the load of the given place in the order, counted from 0, has ended. */
    long untilLoaded(int place, long now) {
        long interval = interval(now);
        long first = counting ? Math.max(0, interval - (now - countingSinceNanos)) : 0;
        return first + place * interval + (long) loadNanos;
    }

    /** Time that an answer of a length takes. */
    long untilAnswered(int tokens) {
        return (long) (tokens * tokenNanos);
    }

    private static double mean(double before, double sample) {
        return before == 0 ? sample : before + WEIGHT * (sample - before);
    }
}
