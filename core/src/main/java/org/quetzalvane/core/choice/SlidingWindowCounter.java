package org.quetzalvane.core.choice;

import java.util.Arrays;

/**
 * Counts events within a sliding time window, in buckets of a twentieth of the window. The oldest bucket is always
 * counted completely, so the count covers at least the window. Confined to the event loop.
 */
final class SlidingWindowCounter {
    private static final int BUCKETS = 20;

    private final long bucketNanos;
    private final long[] counts = new long[BUCKETS + 1];
    private long headBucket = Long.MIN_VALUE;
    private long sum;

    SlidingWindowCounter(long windowNanos) {
        bucketNanos = Math.max(1, windowNanos / BUCKETS);
    }

    void add(long now) {
        advanceTo(now);
        counts[index(headBucket)]++;
        sum++;
    }

    long count(long now) {
        advanceTo(now);
        return sum;
    }

    private void advanceTo(long now) {
        long bucket = Math.floorDiv(now, bucketNanos);
        if (headBucket == Long.MIN_VALUE || bucket - headBucket > BUCKETS) {
            Arrays.fill(counts, 0);
            sum = 0;
            headBucket = bucket;
            return;
        }
        while (headBucket < bucket) {
            headBucket++;
            sum -= counts[index(headBucket)];
            counts[index(headBucket)] = 0;
        }
    }

    private static int index(long bucket) {
        return (int) Math.floorMod(bucket, (long) BUCKETS + 1);
    }
}
