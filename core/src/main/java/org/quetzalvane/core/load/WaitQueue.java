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
 * Queue of one engine, grouped by adapter version so that all requests of a group share one load.
 *
 * <p>With fair sharing, requests are ordered by priority and then by start-time fair queueing: the virtual start of a
 * request is the greater of the virtual time and the virtual finish of the caller's last request, and its virtual
 * finish is the start plus its {@code maxTokens}. Many requests of one caller therefore do not delay the first requests
 * of another. Otherwise requests are ordered by arrival.
 *
 * <p>Invariant: a group exists only while it contains requests. Not thread-safe; guarded by the lock of its
 * {@link EngineDispatcher}.
 */
final class WaitQueue {
    private static final int MAX_TRACKED_CALLERS = 4096;

    private final boolean fairSharing;
    private final BatchDelay batchDelay;
    private final Map<AdapterVersion, WaitGroup> groups = new LinkedHashMap<>();
    private final Map<String, Integer> countByCaller = new HashMap<>();
    private final Map<String, Double> virtualFinishByCaller = new HashMap<>();
    private double virtualTime;
    private long nextPosition;
    private long nextFrontPosition = -1;
    private long nextGroupSequence;
    private int size;

    /** Creates an empty queue. */
    WaitQueue(DispatchPolicy policy, BatchDelay gate) {
        this.fairSharing = policy.fairSharing();
        this.batchDelay = gate;
    }

    int size() {
        return size;
    }

    int countOfCaller(String caller) {
        return countByCaller.getOrDefault(caller, 0);
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

    /** Adds a request whose adapter must be loaded by the load deadline. */
    void addLast(PendingRequest pending, long now, long loadDeadlineNanos) {
        add(pending, now, loadDeadlineNanos, nextVirtualStart(pending.request()), nextPosition++);
    }

    /** Adds a request that was dispatched before, ahead of the others of its priority. */
    void addFirst(PendingRequest pending, long now, long loadDeadlineNanos) {
        add(pending, now, loadDeadlineNanos, fairSharing ? virtualTime : 0, nextFrontPosition--);
    }

    /** Removes and returns the next request of a group. */
    QueuedRequest poll(AdapterVersion v) {
        WaitGroup group = groups.get(v);
        QueuedRequest queued = group.head();
        group.remove(queued);
        onRemoved(queued);
        dropIfEmpty(group);
        virtualTime = Math.max(virtualTime, queued.virtualStart());
        return queued;
    }

    /** Removes a request; returns false if it is not in the queue. */
    boolean remove(PendingRequest pending) {
        WaitGroup group = groups.get(pending.request().version());
        if (group == null) {
            return false;
        }
        List<QueuedRequest> found = new ArrayList<>();
        group.removeIf(queued -> queued.pending() == pending, found::add);
        found.forEach(this::onRemoved);
        dropIfEmpty(group);
        return !found.isEmpty();
    }

    /** Removes and returns the requests that match. */
    List<PendingRequest> removeIf(Predicate<QueuedRequest> condition) {
        List<PendingRequest> found = new ArrayList<>();
        for (WaitGroup group : groups.values()) {
            group.removeIf(condition, queued -> {
                onRemoved(queued);
                found.add(queued.pending());
            });
        }
        groups.values().removeIf(WaitGroup::isEmpty);
        return found;
    }

    private void add(PendingRequest pending, long now, long loadDeadlineNanos, double virtualStart, long position) {
        InferenceRequest request = pending.request();
        long holdUntilNanos = batchDelay.delayEndNanos(now, request.deadlineNanos());
        QueuedRequest queued = new QueuedRequest(
                pending,
                now,
                loadDeadlineNanos,
                holdUntilNanos,
                fairSharing ? -request.priority() : 0,
                virtualStart,
                position);
        groups.computeIfAbsent(queued.version(), v -> new WaitGroup(v, nextGroupSequence++))
                .add(queued);
        size++;
        countByCaller.merge(queued.request().caller(), 1, Integer::sum);
    }

    private void onRemoved(QueuedRequest queued) {
        size--;
        String caller = queued.request().caller();
        countByCaller.merge(caller, -1, Integer::sum);
        countByCaller.remove(caller, 0);
    }

    private void dropIfEmpty(WaitGroup group) {
        if (group.isEmpty()) {
            groups.remove(group.version());
        }
    }

    private double nextVirtualStart(InferenceRequest request) {
        if (!fairSharing) {
            return 0;
        }
        if (virtualFinishByCaller.size() >= MAX_TRACKED_CALLERS) {
            virtualFinishByCaller.values().removeIf(finish -> finish <= virtualTime);
        }
        double start = Math.max(virtualTime, virtualFinishByCaller.getOrDefault(request.caller(), 0.0));
        virtualFinishByCaller.put(request.caller(), start + request.maxTokens());
        return start;
    }
}
