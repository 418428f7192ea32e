package org.quetzalvane.core.choice;

import java.util.HashMap;
import java.util.Map;

import org.quetzalvane.core.routes.AdapterRef;
import org.quetzalvane.core.time.Scheduler;

/** Number of recent requests to this node for each adapter. Confined to the event loop. */
public final class AdapterDemand {
    /** Length of the sliding window, ns: twice the usual run time of a request, 2 s. */
    private static final long WINDOW_NANOS = 4_000_000_000L;
    /** Number of tracked adapters above which those without a request in the window are removed. */
    private static final int SWEEP_THRESHOLD_ADAPTERS = 2_000;

    private final Scheduler scheduler;
    private final Map<AdapterRef, SlidingWindowCounter> counts = new HashMap<>();

    public AdapterDemand(Scheduler scheduler) {
        this.scheduler = scheduler;
    }

    /** Counts a request for an adapter. */
    public void recordRequest(AdapterRef ref) {
        long now = scheduler.nanoTime();
        if (counts.size() > SWEEP_THRESHOLD_ADAPTERS) {
            counts.values().removeIf(c -> c.count(now) == 0);
        }
        counts.computeIfAbsent(ref, r -> new SlidingWindowCounter(WINDOW_NANOS, 1))
                .add(now);
    }

    /** Requests for the adapter within the sliding window. */
    public long recentRequests(AdapterRef ref) {
        SlidingWindowCounter c = counts.get(ref);
        return c == null ? 0 : c.count(scheduler.nanoTime());
    }
}
