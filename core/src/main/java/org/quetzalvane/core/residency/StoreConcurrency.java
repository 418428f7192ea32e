package org.quetzalvane.core.residency;

import org.quetzalvane.core.time.Scheduler;

/**
 * Estimates how many loads the weight store carries at full speed; beyond it, loads take longer in proportion.
 *
 * <p>Load pattern: more missing adapters at once than the weight store carries. Taken too low, requests and adapter
 * slots wait for loads that have long ended; taken too high, requests reach engines before their adapter and are
 * refused. The loads of a time window are judged together, because those that are slowed down together are refused
 * together: the estimate grows if slowed loads ended when expected, faster after several such windows, and falls if too
 * many had not. Confined to the event loop.
 */
final class StoreConcurrency {
    /** Shortest window, ms: about the duration of a load. */
    private static final long WINDOW_MS = 300;
    /** Smallest number of loads that a window is judged by. */
    private static final int MIN_LOADS_PER_WINDOW = 5;
    /** Share of loads that had not ended when expected above which the estimate falls. */
    private static final double TOO_SHORT_SHARE = 0.06;
    /** Growth in a window, as a fraction of the estimate. */
    private static final double GROWTH = 0.03;
    /** Largest growth in a window, reached after several that grew. */
    private static final double MAX_GROWTH = 0.1;
    /** Growth in a window near the value that was last found too high. */
    private static final double GROWTH_NEAR_LIMIT = 0.003;
    /** Part of the value last found too high from which the estimate is near it. */
    private static final double NEAR_LIMIT = 0.9;
    /** Part of the value last found too high from which the store carries more than it did then. */
    private static final double PAST_LIMIT = 1.1;
    /** Smallest part of the estimate that is left after a window. */
    private static final double MAX_DECREASE_FACTOR = 0.85;
    /** Smallest estimate. */
    private static final double MIN_LOADS = 4;

    private final Scheduler scheduler;
    private double loads;
    /** Value that was last found too high, or 0. */
    private double limit;

    private long windowNanos;
    private int slowedInTime;
    private int inTime;
    private int tooShort;
    private int windowsGrown;

    StoreConcurrency(Scheduler scheduler, double loads) {
        this.scheduler = scheduler;
        this.loads = loads;
        this.windowNanos = scheduler.nanoTime();
    }

    /** Number of loads carried at full speed. */
    double loads() {
        return loads;
    }

    /**
     * Records that a load was expected to have ended, and that requests are sent to it.
     *
     * @param slowed whether it was expected to be slower than at full speed
     * @param max largest value that the estimate grows to: the loads that the engines could have under way
     */
    void loadInTime(boolean slowed, double max) {
        inTime++;
        if (slowed) {
            slowedInTime++;
        }
        judgeWindow(max);
    }

    /** Records that a load reported as in time had not ended. */
    void loadTooShort() {
        tooShort++;
    }

    private void judgeWindow(double max) {
        long now = scheduler.nanoTime();
        if (inTime < MIN_LOADS_PER_WINDOW || now - windowNanos < WINDOW_MS * 1_000_000) {
            return;
        }
        double share = Math.min(1, (double) tooShort / inTime);
        if (share > TOO_SHORT_SHARE) {
            windowsGrown = 0;
            limit = loads;
            loads = Math.max(MIN_LOADS, loads * Math.max(MAX_DECREASE_FACTOR, 1 - share / 2));
        } else if (slowedInTime > inTime / 2) {
            windowsGrown++;
            boolean nearLimit = loads > limit * NEAR_LIMIT && loads < limit * PAST_LIMIT;
            double growth = nearLimit ? GROWTH_NEAR_LIMIT : Math.min(MAX_GROWTH, GROWTH * windowsGrown);
            loads = Math.max(loads, Math.min(max, loads * (1 + growth)));
        }
        windowNanos = now;
        inTime = 0;
        slowedInTime = 0;
        tooShort = 0;
    }
}
