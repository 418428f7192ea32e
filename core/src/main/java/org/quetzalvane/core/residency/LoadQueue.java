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
 * Those who wait for adapters at one engine, in the order in which places fall to them.
 *
 * <p>Answers the pattern of more rare adapters asked for than places fall free: requests that can still be on time go
 * before those that cannot, more urgent ranks before less urgent ones, then the one that is due first; the last in that
 * order is refused at once when too many wait. Requests for one adapter wait together, in the place of the foremost.
 * Confined to the event loop.
 */
final class LoadQueue {
    /** Adapters that may be waited for at once; a place is freed two or three times a second, callers wait 1 to 2 s. */
    static final int MAX_WAITING = 4;

    private final Scheduler scheduler;
    private final Map<AdapterRef, Group> groups = new HashMap<>();

    private record Waiter(int rank, long dueNanos, long untilNanos, Consumer<Boolean> done) {}

    /** Those who wait for one adapter in one version. */
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

    /** Adds a wish; whoever loses its place in the queue by that is told so. */
    void add(LoadRequest w, Consumer<Boolean> done) {
        long now = scheduler.nanoTime();
        Waiter waiter = new Waiter(w.rank(), now + w.dueMs() * 1_000_000, now + w.waitMs() * 1_000_000, done);
        Group g = groups.get(w.adapter());
        if (g != null && g.version != w.version()) {
            finish(w.adapter(), false);
            g = null;
        }
        if (g == null) {
            g = new Group(w.adapter(), w.version());
            groups.put(w.adapter(), g);
        }
        g.waiters.add(waiter);
        if (groups.size() > MAX_WAITING) {
            List<AdapterRef> order = inOrder();
            finish(order.get(order.size() - 1), false);
        }
    }

    boolean contains(AdapterRef ref) {
        return groups.containsKey(ref);
    }

    boolean isEmpty() {
        return groups.isEmpty();
    }

    /** Version waited for; the adapter must be in the queue. */
    int version(AdapterRef ref) {
        return groups.get(ref).version;
    }

    /** The adapters waited for, foremost first. */
    List<AdapterRef> inOrder() {
        long now = scheduler.nanoTime();
        return groups.values().stream()
                .sorted(Comparator.comparing((Group g) -> foremost(g, now), order(now)))
                .map(g -> g.adapter)
                .toList();
    }

    /** Tells all who wait for an adapter how it ended; nothing happens when nobody waits. */
    void finish(AdapterRef ref, boolean held) {
        Group g = groups.remove(ref);
        if (g != null) {
            g.waiters.forEach(w -> w.done().accept(held));
        }
    }

    /** Tells those whose time has passed. */
    void expire() {
        long now = scheduler.nanoTime();
        List<Waiter> over = new ArrayList<>();
        for (Group g : groups.values()) {
            g.waiters.stream().filter(w -> w.untilNanos() <= now).forEach(over::add);
            g.waiters.removeAll(over);
        }
        groups.values().removeIf(g -> g.waiters.isEmpty());
        over.forEach(w -> w.done().accept(false));
    }

    /** Tells everyone that the adapter does not come. */
    void close() {
        List.copyOf(groups.keySet()).forEach(ref -> finish(ref, false));
    }

    private static Waiter foremost(Group g, long now) {
        return g.waiters.stream().min(order(now)).orElseThrow();
    }

    private static Comparator<Waiter> order(long now) {
        return Comparator.comparing((Waiter w) -> w.dueNanos() <= now)
                .thenComparingInt(Waiter::rank)
                .thenComparingLong(Waiter::dueNanos);
    }
}
