package org.quetzalvane.core.limit;

import org.quetzalvane.core.cluster.RendezvousHash;

/** Retry times that are sent to callers. Stateless and thread-safe. */
public final class RetryAfter {
    /** Longest time by which retries are spread, as a fraction of the wait. */
    private static final double SPREAD_FACTOR = 0.25;
    /** Smallest range over which retries are spread, ms. */
    private static final long MIN_SPREAD_MS = 200;

    private RetryAfter() {}

    /** A retry time not before the wait ends, ms, at which other requests with the same wait rarely come back. */
    public static long spread(long waitMs, String requestId) {
        long range = Math.max(MIN_SPREAD_MS, Math.round(waitMs * SPREAD_FACTOR));
        return waitMs + Long.remainderUnsigned(RendezvousHash.hash(requestId), range);
    }
}
