package org.quetzalvane.core.choice;

import java.util.HashMap;
import java.util.Map;

import org.quetzalvane.core.routes.AdapterRef;
import org.quetzalvane.core.time.Scheduler;

/** How often this node was lately asked for each adapter. Confined to the event loop. */
public final class AdapterDemand {
    /** Length of the memory, ns: two runs of a usual answer. */
    private static final long WINDOW_NANOS = 4_000_000_000L;
    /** Adapters remembered; those without a request in the memory are dropped when there are more. */
    private static final int CAPACITY = 2_000;

    private final Scheduler scheduler;
    private final Map<AdapterRef, SlidingCount> counts = new HashMap<>();

    public AdapterDemand(Scheduler scheduler) {
        this.scheduler = scheduler;
    }

    /** Counts a request. */
    public void recordRequest(AdapterRef ref) {
        long now = scheduler.nanoTime();
        if (counts.size() > CAPACITY) {
            counts.values().removeIf(c -> c.count(now) == 0);
        }
        counts.computeIfAbsent(ref, r -> new SlidingCount(WINDOW_NANOS)).add(now);
    }

    /** Requests within the memory. */
    public long recentRequests(AdapterRef ref) {
        SlidingCount c = counts.get(ref);
        return c == null ? 0 : c.count(scheduler.nanoTime());
    }
}
