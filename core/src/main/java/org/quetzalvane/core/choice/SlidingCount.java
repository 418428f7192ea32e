package org.quetzalvane.core.choice;

import java.util.Arrays;

/**
 * Counts events within a sliding window of time, in buckets of a twentieth of it. The oldest bucket is always counted
 * whole, so the count covers at least the window. Confined to the event loop.
 */
final class SlidingCount {
    private static final int BUCKETS = 20;

    private final long bucketNanos;
    private final long[] counts = new long[BUCKETS + 1];
    private long head = Long.MIN_VALUE;
    private long sum;

    SlidingCount(long windowNanos) {
        bucketNanos = Math.max(1, windowNanos / BUCKETS);
    }

    void add(long now) {
        roll(now);
        counts[slot(head)]++;
        sum++;
    }

    long count(long now) {
        roll(now);
        return sum;
    }

    private void roll(long now) {
        long bucket = Math.floorDiv(now, bucketNanos);
        if (head == Long.MIN_VALUE || bucket - head > BUCKETS) {
            Arrays.fill(counts, 0);
            sum = 0;
            head = bucket;
            return;
        }
        while (head < bucket) {
            head++;
            sum -= counts[slot(head)];
            counts[slot(head)] = 0;
        }
    }

    private static int slot(long bucket) {
        return (int) Math.floorMod(bucket, (long) BUCKETS + 1);
    }
}
