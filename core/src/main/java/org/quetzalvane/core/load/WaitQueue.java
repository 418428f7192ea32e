package org.quetzalvane.core.load;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

import org.quetzalvane.core.model.AdapterVersion;
import org.quetzalvane.core.request.Ticket;

/**
 * Requests that wait at one engine, grouped by adapter version, so that all of a group share one load.
 *
 * <p>Invariant: a group exists only while something waits in it. Not thread-safe; guarded by the lock of its
 * {@link EngineDispatcher}.
 */
final class WaitQueue {
    private final Map<AdapterVersion, Deque<Waiting>> groups = new LinkedHashMap<>();
    private final Map<String, Integer> byCaller = new HashMap<>();
    private int size;

    /**
     * One waiting request. Immutable.
     *
     * @param ticket the request
     * @param sinceNanos since when it waits here
     */
    record Waiting(Ticket ticket, long sinceNanos) {

        AdapterVersion version() {
            return ticket.request().version();
        }
    }

    int size() {
        return size;
    }

    int ofCaller(String caller) {
        return byCaller.getOrDefault(caller, 0);
    }

    int waitingFor(AdapterVersion v) {
        Deque<Waiting> q = groups.get(v);
        return q == null ? 0 : q.size();
    }

    boolean has(AdapterVersion v) {
        return groups.containsKey(v);
    }

    Set<AdapterVersion> versions() {
        return groups.keySet();
    }

    void addLast(Waiting w) {
        group(w).addLast(w);
        count(w, 1);
    }

    void addFirst(Waiting w) {
        group(w).addFirst(w);
        count(w, 1);
    }

    /** Takes the first of a group, or null. */
    Waiting poll(AdapterVersion v) {
        Deque<Waiting> q = groups.get(v);
        if (q == null) {
            return null;
        }
        Waiting w = q.pollFirst();
        count(w, -1);
        if (q.isEmpty()) {
            groups.remove(v);
        }
        return w;
    }

    /** Removes a request; false when it does not wait here. */
    boolean remove(Ticket ticket) {
        return !removeIf(w -> w.ticket == ticket).isEmpty();
    }

    /** Removes and returns the requests that fit. */
    List<Ticket> removeIf(Predicate<Waiting> condition) {
        List<Ticket> removed = new ArrayList<>();
        groups.values()
                .forEach(q -> q.removeIf(w -> {
                    boolean fits = condition.test(w);
                    if (fits) {
                        removed.add(w.ticket);
                        count(w, -1);
                    }
                    return fits;
                }));
        groups.values().removeIf(Deque::isEmpty);
        return removed;
    }

    /** The groups whose version fits. */
    List<LoadPolicy.Group> groups(Predicate<AdapterVersion> condition) {
        List<LoadPolicy.Group> found = new ArrayList<>();
        groups.forEach((v, q) -> {
            if (condition.test(v)) {
                found.add(
                        new LoadPolicy.Group(v, q.stream().map(Waiting::ticket).toList()));
            }
        });
        return found;
    }

    /** How many groups that fit have at least so many waiting. */
    int groupsOfSize(int least, Predicate<AdapterVersion> condition) {
        int found = 0;
        for (Map.Entry<AdapterVersion, Deque<Waiting>> e : groups.entrySet()) {
            found += e.getValue().size() >= least && condition.test(e.getKey()) ? 1 : 0;
        }
        return found;
    }

    private Deque<Waiting> group(Waiting w) {
        return groups.computeIfAbsent(w.version(), v -> new ArrayDeque<>());
    }

    private void count(Waiting w, int change) {
        size += change;
        String caller = w.ticket.request().caller();
        byCaller.merge(caller, change, Integer::sum);
        byCaller.remove(caller, 0);
    }
}
