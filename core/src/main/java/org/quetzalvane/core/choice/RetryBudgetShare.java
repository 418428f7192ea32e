package org.quetzalvane.core.choice;

import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;

import org.quetzalvane.core.time.Scheduler;

/**
 * This node's share of the retry budget that all nodes draw on, by service.
 *
 * <p>Answers the pattern of a failing endpoint under full load, where every request wants a second send: in each window
 * a node grants at most {@code ratio} times the requests it received itself plus an equal part of the fixed extra, so
 * the nodes together stay within the budget without talking. Confined to the event loop.
 */
public final class RetryBudgetShare {
    /** Nodes assumed while none is known, so that a lone view takes the smallest part. */
    private static final int UNKNOWN_NODES = 64;
    /** Part of the published budget that is used; the rest covers sends whose count crosses a window's edge. */
    private static final double USED_PART = 0.8;

    private final Scheduler scheduler;
    private final double ratio;
    private final double extra;
    private final long windowNanos;
    private final IntSupplier nodes;
    private final Map<String, Counts> byService = new HashMap<>();

    /**
     * Builds the share.
     *
     * @param ratio retries allowed for each request
     * @param extra retries allowed to all nodes together in a window, beyond the ratio
     * @param windowMs length of the window in milliseconds
     * @param nodes number of nodes believed to share the budget, 0 when unknown
     */
    public RetryBudgetShare(Scheduler scheduler, double ratio, double extra, long windowMs, IntSupplier nodes) {
        this.scheduler = scheduler;
        this.ratio = ratio;
        this.extra = extra;
        this.windowNanos = windowMs * 1_000_000;
        this.nodes = nodes;
    }

    /** Counts a request that a caller sent to a service. */
    public void recordRequest(String service) {
        counts(service).requests.add(scheduler.nanoTime());
    }

    /** Takes the permission for one more send of a request, if there is one. */
    public boolean tryAcquire(String service) {
        Counts c = counts(service);
        long now = scheduler.nanoTime();
        int n = nodes.getAsInt();
        double fixed = extra / (n <= 0 ? UNKNOWN_NODES : n);
        double allowed = USED_PART * (ratio * c.requests.count(now) + fixed);
        if (c.retries.count(now) + 1 > allowed) {
            return false;
        }
        c.retries.add(now);
        return true;
    }

    private Counts counts(String service) {
        return byService.computeIfAbsent(service, s -> new Counts(windowNanos));
    }

    private static final class Counts {
        private final SlidingCount requests;
        private final SlidingCount retries;

        Counts(long windowNanos) {
            requests = new SlidingCount(windowNanos);
            retries = new SlidingCount(windowNanos);
        }
    }
}
