package org.quetzalvane.core.residency;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

import org.quetzalvane.core.routes.AdapterRef;
import org.quetzalvane.core.time.Scheduler;

/**
 * Load requests that wait for adapter slots of one engine, most urgent first.
 *
 * <p>Requests before their due time go first, then requests of higher priority, then those due earliest. Requests for
 * one adapter wait together, at the position of the most urgent one. If more than {@link #MAX_WAITING} adapters wait,
 * the requests for the least urgent one are refused at once. Confined to the event loop.
 */
final class LoadQueue {
    /** Adapters that may wait at once; two or three adapter slots become free per second, and callers wait 1 to 2 s. */
    static final int MAX_WAITING = 4;

    private final Scheduler scheduler;
    private final Map<AdapterRef, Group> groups = new HashMap<>();

    /** One waiting request; times on the scheduler's clock. */
    private record Waiter(int rank, long dueNanos, long expiresNanos, Consumer<Boolean> done) {}

    /** The requests that wait for one version of an adapter. */
    private static final class Group {
        private final AdapterRef adapter;
        private final int version;
        private final List<Waiter> waiters = new ArrayList<>();

        Group(AdapterRef adapter, int version) {
            this.adapter = adapter;
            this.version = version;
        }
    }

    LoadQueue(Scheduler scheduler) {
        this.scheduler = scheduler;
    }

    /**
     * Adds a request. All requests for another version of the adapter are refused; if more than {@link #MAX_WAITING}
     * adapters wait, all requests for the least urgent adapter are refused, possibly this one.
     */
    void add(LoadRequest request, Consumer<Boolean> done) {
        long now = scheduler.nanoTime();
        Waiter waiter =
                new Waiter(request.rank(), now + request.dueMs() * 1_000_000, now + request.waitMs() * 1_000_000, done);
        Group g = groups.get(request.adapter());
        if (g != null && g.version != request.version()) {
            complete(request.adapter(), false);
            g = null;
        }
        if (g == null) {
            g = new Group(request.adapter(), request.version());
            groups.put(request.adapter(), g);
        }
        g.waiters.add(waiter);
        if (groups.size() > MAX_WAITING) {
            List<AdapterRef> adapters = adaptersByUrgency();
            complete(adapters.get(adapters.size() - 1), false);
        }
    }

    boolean contains(AdapterRef ref) {
        return groups.containsKey(ref);
    }

    boolean isEmpty() {
        return groups.isEmpty();
    }

    /** Requested version of an adapter, which must be in the queue. */
    int version(AdapterRef ref) {
        return groups.get(ref).version;
    }

    /** Waiting adapters, most urgent first. */
    List<AdapterRef> adaptersByUrgency() {
        long now = scheduler.nanoTime();
        return groups.values().stream()
                .sorted(Comparator.comparing((Group g) -> mostUrgent(g, now), byUrgency(now)))
                .map(g -> g.adapter)
                .toList();
    }

    /** Completes all requests for an adapter; has no effect if there are none. */
    void complete(AdapterRef ref, boolean resident) {
        Group g = groups.remove(ref);
        if (g != null) {
            g.waiters.forEach(w -> w.done().accept(resident));
        }
    }

    /** Refuses the requests whose wait has expired. */
    void expire() {
        long now = scheduler.nanoTime();
        List<Waiter> expired = new ArrayList<>();
        for (Group g : groups.values()) {
            g.waiters.stream().filter(w -> w.expiresNanos() <= now).forEach(expired::add);
            g.waiters.removeAll(expired);
        }
        groups.values().removeIf(g -> g.waiters.isEmpty());
        expired.forEach(w -> w.done().accept(false));
    }

    /** Refuses all requests. */
    void refuseAll() {
        List.copyOf(groups.keySet()).forEach(ref -> complete(ref, false));
    }

    private static Waiter mostUrgent(Group g, long nowNanos) {
        return g.waiters.stream().min(byUrgency(nowNanos)).orElseThrow();
    }

    private static Comparator<Waiter> byUrgency(long nowNanos) {
        return Comparator.comparing((Waiter w) -> w.dueNanos() <= nowNanos)
                .thenComparingInt(Waiter::rank)
                .thenComparingLong(Waiter::dueNanos);
    }
}
