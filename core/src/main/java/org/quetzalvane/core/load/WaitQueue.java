package org.quetzalvane.core.load;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

import org.quetzalvane.core.model.AdapterVersion;
import org.quetzalvane.core.request.InferenceRequest;
import org.quetzalvane.core.request.PendingRequest;

/**
 * Requests that wait at one engine, grouped by adapter version, so that all of a group share one load.
 *
 * <p>When fair, a request's turn comes by priority and then by its caller's virtual time, which advances with the work
 * that the caller asks for, so that no caller's flood goes before the first requests of another; otherwise by arrival.
 *
 * <p>Invariant: a group exists only while something waits in it. Not thread-safe; guarded by the lock of its
 * {@link EngineDispatcher}.
 */
final class WaitQueue {
    private static final int MAX_CALLERS = 4096;

    private final boolean fair;
    private final BatchGate gate;
    private final Map<AdapterVersion, WaitGroup> groups = new LinkedHashMap<>();
    private final Map<String, Integer> byCaller = new HashMap<>();
    private final Map<String, Double> lastTags = new HashMap<>();
    private double virtualTime;
    private long nextPlace;
    private long nextFrontPlace = -1;
    private long nextGroup;
    private int size;

    /** Builds an empty queue. */
    WaitQueue(DispatchPolicy policy, BatchGate gate) {
        this.fair = policy.fair();
        this.gate = gate;
    }

    int size() {
        return size;
    }

    int ofCaller(String caller) {
        return byCaller.getOrDefault(caller, 0);
    }

    boolean has(AdapterVersion v) {
        return groups.containsKey(v);
    }

    Optional<WaitGroup> find(AdapterVersion v) {
        return Optional.ofNullable(groups.get(v));
    }

    Collection<WaitGroup> groups() {
        return groups.values();
    }

    /** Adds a request whose load is promised by an instant. */
    void addLast(PendingRequest ticket, long now, long promised) {
        add(ticket, now, promised, nextTag(ticket.request()), nextPlace++);
    }

    /** Adds a request that was dispatched before, ahead of the others of its rank. */
    void addFirst(PendingRequest ticket, long now, long promised) {
        add(ticket, now, promised, fair ? virtualTime : 0, nextFrontPlace--);
    }

    /** Takes the request whose turn it is in a group. */
    Waiting poll(AdapterVersion v) {
        WaitGroup g = groups.get(v);
        Waiting w = g.head();
        g.remove(w);
        removed(w);
        dropIfEmpty(g);
        virtualTime = Math.max(virtualTime, w.tag());
        return w;
    }

    /** Removes a request; false when it does not wait here. */
    boolean remove(PendingRequest ticket) {
        WaitGroup g = groups.get(ticket.request().version());
        if (g == null) {
            return false;
        }
        List<Waiting> found = new ArrayList<>();
        g.removeIf(w -> w.ticket() == ticket, found::add);
        found.forEach(this::removed);
        dropIfEmpty(g);
        return !found.isEmpty();
    }

    /** Removes and returns the requests that fit. */
    List<PendingRequest> removeIf(Predicate<Waiting> condition) {
        List<PendingRequest> found = new ArrayList<>();
        for (WaitGroup g : groups.values()) {
            g.removeIf(condition, w -> {
                removed(w);
                found.add(w.ticket());
            });
        }
        groups.values().removeIf(WaitGroup::isEmpty);
        return found;
    }

    private void add(PendingRequest ticket, long now, long promised, double tag, long place) {
        InferenceRequest r = ticket.request();
        long heldUntil = gate.heldUntil(now, r.deadlineNanos());
        Waiting w = new Waiting(ticket, now, promised, heldUntil, fair ? -r.priority() : 0, tag, place);
        groups.computeIfAbsent(w.version(), v -> new WaitGroup(v, nextGroup++)).add(w);
        size++;
        byCaller.merge(w.request().caller(), 1, Integer::sum);
    }

    private void removed(Waiting w) {
        size--;
        String caller = w.request().caller();
        byCaller.merge(caller, -1, Integer::sum);
        byCaller.remove(caller, 0);
    }

    private void dropIfEmpty(WaitGroup g) {
        if (g.isEmpty()) {
            groups.remove(g.version());
        }
    }

    private double nextTag(InferenceRequest r) {
        if (!fair) {
            return 0;
        }
        if (lastTags.size() >= MAX_CALLERS) {
            lastTags.values().removeIf(t -> t <= virtualTime);
        }
        double start = Math.max(virtualTime, lastTags.getOrDefault(r.caller(), 0.0));
        lastTags.put(r.caller(), start + r.maxTokens());
        return start;
    }
}
