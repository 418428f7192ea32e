package org.quetzalvane.core.choice;

import java.util.Arrays;

/**
 * Counts events within a sliding time window, in buckets of a twentieth of the window, and keeps those of some windows
 * before it.
 *
 * <p>The oldest bucket is always counted completely, so the count covers at least the window. The times passed in must
 * not decrease. Confined to the event loop.
 */
final class SlidingWindowCounter {
    static final int BUCKETS = 20;

    private final long bucketNanos;
    private final long[] counts;
    private long newestBucket = Long.MIN_VALUE;

    /**
     * Creates a counter.
     *
     * @param windows number of windows that are kept
     */
    SlidingWindowCounter(long windowNanos, int windows) {
        bucketNanos = Math.max(1, windowNanos / BUCKETS);
        counts = new long[windows * BUCKETS + 1];
    }

    /** Counts one event at the given time, ns. */
    void add(long nowNanos) {
        advanceTo(nowNanos);
        counts[index(newestBucket)]++;
    }

    /** Number of events in the window that ends at the given time, ns. */
    long count(long nowNanos) {
        return count(nowNanos, BUCKETS, 0);
    }

    /**
     * Number of events in a range of buckets, both included; 0 is the bucket of the given time, 1 the one before it.
     * Buckets after it or that are not kept any more are empty.
     */
    long count(long nowNanos, int oldest, int newest) {
        advanceTo(nowNanos);
        long sum = 0;
        for (int i = Math.max(0, newest); i <= Math.min(oldest, counts.length - 1); i++) {
            sum += counts[index(newestBucket - i)];
        }
        return sum;
    }

    private void advanceTo(long nowNanos) {
        long bucket = Math.floorDiv(nowNanos, bucketNanos);
        if (newestBucket == Long.MIN_VALUE || bucket - newestBucket >= counts.length) {
            Arrays.fill(counts, 0);
            newestBucket = bucket;
            return;
        }
        while (newestBucket < bucket) {
            newestBucket++;
            counts[index(newestBucket)] = 0;
        }
    }

    private int index(long bucket) {
        return (int) Math.floorMod(bucket, (long) counts.length);
    }
}
