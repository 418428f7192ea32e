package org.quetzalvane.core.serve;

import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

import org.quetzalvane.core.routes.Route;
import org.quetzalvane.core.time.Scheduler;

/**
 * The rest of the time of a node that was told to stop, and what may still be run in it.
 *
 * <p>Invariants: a request that must not be repeated is permitted only if its deadline lies before the end; one that
 * may be repeated, also if most of the newest requests of its route would have ended in what is left. At the end, each
 * request that is still in progress is told once. Until the stop begins, everything is permitted. Confined to the event
 * loop.
 */
public final class GracePeriod {
    private final Scheduler scheduler;
    private final RunTimes runTimes = new RunTimes();
    private final Set<Listener> listeners = new LinkedHashSet<>();
    private boolean begun;
    private long endNanos;

    /** A request in progress. */
    interface Listener {
        /** The node was told to stop; the request may have to end now. */
        void stopBegun();

        /** The process is about to end; the request must end now. */
        void stopEnding();
    }

    public GracePeriod(Scheduler scheduler) {
        this.scheduler = scheduler;
    }

    /** Begins the stop; a second call has no effect. */
    public void begin(Duration length) {
        if (begun) {
            return;
        }
        begun = true;
        endNanos = scheduler.nanoTime() + length.toNanos();
        scheduler.schedule(length, () -> List.copyOf(listeners).forEach(Listener::stopEnding));
        List.copyOf(listeners).forEach(Listener::stopBegun);
    }

    void add(Listener l) {
        listeners.add(l);
    }

    void remove(Listener l) {
        listeners.remove(l);
    }

    /** A request of the route was served, in the given time since its arrival. */
    void recordServed(Route route, long ms) {
        runTimes.record(route, ms);
    }

    /** The deadline of a request, or the end of the grace period if that is earlier. */
    long limit(long deadlineNanos) {
        return begun && endNanos - deadlineNanos < 0 ? endNanos : deadlineNanos;
    }

    /** Why a request that was not sent yet must not be sent any more, with the inputs of the decision; or null. */
    String refusal(Route route, long deadlineNanos) {
        if (limit(deadlineNanos) == deadlineNanos) {
            return null;
        }
        long now = scheduler.nanoTime();
        long remainingMs = (endNanos - now) / 1_000_000;
        long neededMs = route.retryable() ? runTimes.usualMs(route) : (deadlineNanos - now) / 1_000_000;
        if (neededMs <= remainingMs) {
            return null;
        }
        return "stopping, remaining_ms=" + remainingMs + " needed_ms=" + neededMs + " deadline_ms="
                + (deadlineNanos - now) / 1_000_000 + " kind=" + route.kind() + " retryable=" + route.retryable();
    }
}
