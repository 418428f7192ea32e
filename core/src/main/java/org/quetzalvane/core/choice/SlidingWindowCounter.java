package org.quetzalvane.core.choice;

import java.util.Arrays;

/**
 * Counts events within a sliding time window, in buckets of a twentieth of the window.
 *
 * <p>The oldest bucket is always counted completely, so the count covers at least the window. The times passed in must
 * not decrease. Confined to the event loop.
 */
final class SlidingWindowCounter {
    private static final int BUCKETS = 20;

    private final long bucketNanos;
    private final long[] counts = new long[BUCKETS + 1];
    private long newestBucket = Long.MIN_VALUE;
    private long sum;

    SlidingWindowCounter(long windowNanos) {
        bucketNanos = Math.max(1, windowNanos / BUCKETS);
    }

    /** Counts one event at the given time, ns. */
    void add(long nowNanos) {
        advanceTo(nowNanos);
        counts[index(newestBucket)]++;
        sum++;
    }

    /** Number of events in the window that ends at the given time, ns. */
    long count(long nowNanos) {
        advanceTo(nowNanos);
        return sum;
    }

    private void advanceTo(long nowNanos) {
        long bucket = Math.floorDiv(nowNanos, bucketNanos);
        if (newestBucket == Long.MIN_VALUE || bucket - newestBucket > BUCKETS) {
            Arrays.fill(counts, 0);
            sum = 0;
            newestBucket = bucket;
            return;
        }
        while (newestBucket < bucket) {
            newestBucket++;
            sum -= counts[index(newestBucket)];
            counts[index(newestBucket)] = 0;
        }
    }

    private static int index(long bucket) {
        return (int) Math.floorMod(bucket, (long) BUCKETS + 1);
    }
}
