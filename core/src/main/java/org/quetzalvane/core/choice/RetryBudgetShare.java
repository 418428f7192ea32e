package org.quetzalvane.core.choice;

import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;

import org.quetzalvane.core.time.Scheduler;

/**
 * This node's share, by service, of the retry budget that all nodes have in common.
 *
 * <p>In each window a node grants at most {@link #USED_FRACTION} of {@code ratio} times the requests that it received
 * itself plus an equal part of the fixed extra retries. Until a window has passed since its start, it uses
 * the margin instead, because the process before it or the nodes whose load it takes over may have used their share.
 * The nodes together stay within the budget without coordination, also when an endpoint fails under
 * full load and every request needs a retry.
 *
 * <p>The budget counts the requests of a window, of the one before it or of the one half a window before it, whichever
 * has most. A node keeps to it in each window that contains the present moment, so that two bursts of requests which no
 * such window holds together do not add up.
 *
 * <p>A retry is reserved when it is decided on and counts from the moment at which it is sent, as the budget limits
 * arrivals at endpoints. The reserved and the counted ones together stay within the share whenever one is reserved; the
 * counted ones alone whenever one is sent. Confined to the event loop.
 */
public final class RetryBudgetShare {
    /** Number of nodes assumed while it is unknown, so that a node that knows no peers takes the smallest share. */
    private static final int ASSUMED_NODES = 64;
    /** Fraction of the budget that is granted; the rest is a margin for windows of nodes that do not coincide. */
    private static final double USED_FRACTION = 0.8;
    /** Starts of the processes of one node within a window that stay within the budget. */
    private static final int STARTS_PER_WINDOW = 4;

    private final Scheduler scheduler;
    private final double ratio;
    private final double extra;
    private final long windowNanos;
    private final IntSupplier nodes;
    private final long startNanos;
    private final Map<String, Counts> byService = new HashMap<>();

    /**
     * Creates the share.
     *
     * @param ratio retries allowed for each request
     * @param extra retries allowed to all nodes together in a window, beyond the ratio
     * @param windowMs length of the window in milliseconds
     * @param nodes number of nodes that share the budget, 0 if unknown
     */
    public RetryBudgetShare(Scheduler scheduler, double ratio, double extra, long windowMs, IntSupplier nodes) {
        this.scheduler = scheduler;
        this.ratio = ratio;
        this.extra = extra;
        this.windowNanos = windowMs * 1_000_000;
        this.nodes = nodes;
        this.startNanos = scheduler.nanoTime();
    }

    /** Counts a request of a caller to a service. */
    public void recordRequest(String service) {
        counts(service).requests.add(scheduler.nanoTime());
    }

    /** Reserves one retry, which is left to no other request; returns null if none is left. */
    public Reservation tryReserve(String service) {
        Counts c = counts(service);
        return hasRetry(c, c.reserved) ? new Reservation(c) : null;
    }

    private boolean hasRetry(Counts c, int reserved) {
        long now = scheduler.nanoTime();
        if (c.retries.count(now) + reserved + 1 > allowed(c.requests.count(now), now)) {
            return false;
        }
        for (int oldest = 0; oldest < SlidingWindowCounter.BUCKETS; oldest++) {
            if (c.retries.count(now, oldest, 0) + reserved + 1 > allowed(countedRequests(c, oldest, now), now)) {
                return false;
            }
        }
        return true;
    }

    /** The requests that count for the window that begins with a bucket, as far as they are known. */
    private static long countedRequests(Counts c, int oldest, long now) {
        int window = SlidingWindowCounter.BUCKETS;
        long within = c.requests.count(now, oldest, oldest - window + 1);
        long halfBefore = c.requests.count(now, oldest + window / 2, oldest - window / 2 + 1);
        long before = c.requests.count(now, oldest + window, oldest + 1);
        return Math.max(within, Math.max(halfBefore, before));
    }

    private double allowed(long requests, long now) {
        int nodeCount = nodes.getAsInt();
        double extraShare = extra / (nodeCount <= 0 ? ASSUMED_NODES : nodeCount);
        if (now - startNanos < windowNanos) {
            return (1 - USED_FRACTION) * (ratio * requests + extraShare / STARTS_PER_WINDOW);
        }
        return USED_FRACTION * (ratio * requests + extraShare);
    }

    private Counts counts(String service) {
        return byService.computeIfAbsent(service, s -> new Counts(windowNanos));
    }

    /** A retry of one request that may still be sent. Confined to the event loop. */
    public final class Reservation {
        private final Counts counts;
        private final long reservedNanos = scheduler.nanoTime();
        private boolean open = true;

        private Reservation(Counts counts) {
            this.counts = counts;
            counts.reserved++;
        }

        /** Time since the retry was reserved, ms. */
        public long ageMs() {
            return (scheduler.nanoTime() - reservedNanos) / 1_000_000;
        }

        /**
         * Counts the retry, which is sent now; returns false if it must not be sent, because the share has shrunk since
         * it was reserved or the reservation has ended.
         */
        public boolean use() {
            boolean left = open && hasRetry(counts, 0);
            release();
            if (left) {
                counts.retries.add(scheduler.nanoTime());
            }
            return left;
        }

        /** Ends the reservation of a retry that is not sent; has no effect afterwards. */
        public void release() {
            if (open) {
                open = false;
                counts.reserved--;
            }
        }
    }

    private static final class Counts {
        private final SlidingWindowCounter requests;
        private final SlidingWindowCounter retries;
        private int reserved;

        Counts(long windowNanos) {
            requests = new SlidingWindowCounter(windowNanos, 2);
            retries = new SlidingWindowCounter(windowNanos, 1);
        }
    }
}
