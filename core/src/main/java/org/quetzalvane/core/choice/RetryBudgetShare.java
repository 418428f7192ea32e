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
 * full load and every request needs a retry. Confined to the event loop.
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

    /** Takes one retry from the budget; returns false if none is left. */
    public boolean tryAcquire(String service) {
        boolean left = hasRetry(service);
        if (left) {
            counts(service).retries.add(scheduler.nanoTime());
        }
        return left;
    }

    /**
     * Reserves one retry, to be used or returned later; returns false if none is left. A reserved retry is left to no
     * other request.
     */
    public boolean tryReserve(String service) {
        boolean left = hasRetry(service);
        if (left) {
            counts(service).reserved++;
        }
        return left;
    }

    /** Takes a reserved retry from the budget. */
    public void useReserved(String service) {
        counts(service).reserved--;
        counts(service).retries.add(scheduler.nanoTime());
    }

    /** Returns a reserved retry that is not needed. */
    public void returnReserved(String service) {
        counts(service).reserved--;
    }

    private boolean hasRetry(String service) {
        Counts c = counts(service);
        long now = scheduler.nanoTime();
        return c.retries.count(now) + c.reserved + 1 <= allowed(c.requests.count(now), now);
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

    private static final class Counts {
        private final SlidingWindowCounter requests;
        private final SlidingWindowCounter retries;
        private int reserved;

        Counts(long windowNanos) {
            requests = new SlidingWindowCounter(windowNanos);
            retries = new SlidingWindowCounter(windowNanos);
        }
    }
}
