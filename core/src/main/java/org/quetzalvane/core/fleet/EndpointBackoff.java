package org.quetzalvane.core.fleet;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

import org.quetzalvane.core.time.Scheduler;

/**
 * Endpoints that asked this node to send them nothing for a time. A wait belongs to one instance of an endpoint and is
 * never shortened by a later answer. Confined to the event loop.
 */
final class EndpointBackoff {
    private final Scheduler scheduler;
    private final Map<String, Wait> waits = new HashMap<>();

    private record Wait(long bornMs, long untilNanos) {}

    EndpointBackoff(Scheduler scheduler) {
        this.scheduler = scheduler;
    }

    /** Sends nothing to the endpoint for the given time from now on. */
    void add(Endpoint e, long ms) {
        long now = scheduler.nanoTime();
        waits.values().removeIf(w -> w.untilNanos <= now);
        long until = Math.max(now + ms * 1_000_000, now + remainingMs(e) * 1_000_000);
        waits.put(e.id(), new Wait(e.bornMs(), until));
    }

    /** Time left for which the endpoint wants nothing, rounded up to milliseconds; 0 if it takes requests. */
    long remainingMs(Endpoint e) {
        Wait w = waits.get(e.id());
        long left = w == null || w.bornMs != e.bornMs() ? 0 : w.untilNanos - scheduler.nanoTime();
        return Math.max(0, (left + 999_999) / 1_000_000);
    }

    /** Shortest time left among the endpoints, ms; 0 if there are none. */
    long shortestMs(Collection<Endpoint> endpoints) {
        return endpoints.stream().mapToLong(this::remainingMs).min().orElse(0);
    }
}
