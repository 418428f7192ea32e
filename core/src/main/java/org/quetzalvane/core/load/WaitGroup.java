package org.quetzalvane.core.load;

import java.util.Comparator;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.function.Predicate;

import org.quetzalvane.core.model.AdapterVersion;

/**
 * Queued requests for one adapter version at one engine, in dispatch order.
 *
 * <p>Not thread-safe; guarded by the lock of its {@link EngineDispatcher}.
 */
final class WaitGroup implements LoadPolicy.Group {
    static final Comparator<QueuedRequest> DISPATCH_ORDER = Comparator.comparingInt(QueuedRequest::priorityRank)
            .thenComparingDouble(QueuedRequest::virtualStart)
            .thenComparingLong(QueuedRequest::position);

    private final AdapterVersion version;
    private final long sequence;
    private final TreeSet<QueuedRequest> byDispatchOrder = new TreeSet<>(DISPATCH_ORDER);
    private final TreeSet<QueuedRequest> byPosition = new TreeSet<>(Comparator.comparingLong(QueuedRequest::position));
    private long loadDeadlineNanos;
    private long delayEndNanos;

    WaitGroup(AdapterVersion version, long sequence) {
        this.version = version;
        this.sequence = sequence;
    }

    @Override
    public AdapterVersion version() {
        return version;
    }

    @Override
    public int size() {
        return byDispatchOrder.size();
    }

    @Override
    public long firstArrivalNanos() {
        return byPosition.first().request().arrivalNanos();
    }

    /** Returns the sequence number of the group, which rises in order of creation. */
    long sequence() {
        return sequence;
    }

    boolean isEmpty() {
        return byDispatchOrder.isEmpty();
    }

    QueuedRequest head() {
        return byDispatchOrder.first();
    }

    /** Returns the earliest load deadline of the group's requests. */
    long loadDeadlineNanos() {
        return loadDeadlineNanos;
    }

    /** Returns the earliest time until which a request of the group may be delayed. */
    long delayEndNanos() {
        return delayEndNanos;
    }

    /** Returns the caller of all requests, or null if there are several callers. */
    String onlyCaller() {
        String caller = byDispatchOrder.first().request().caller();
        return byDispatchOrder.stream().allMatch(w -> w.request().caller().equals(caller)) ? caller : null;
    }

    void add(QueuedRequest queued) {
        loadDeadlineNanos =
                isEmpty() ? queued.loadDeadlineNanos() : earlier(loadDeadlineNanos, queued.loadDeadlineNanos());
        delayEndNanos = isEmpty() ? queued.delayEndNanos() : earlier(delayEndNanos, queued.delayEndNanos());
        byDispatchOrder.add(queued);
        byPosition.add(queued);
    }

    void remove(QueuedRequest queued) {
        byDispatchOrder.remove(queued);
        byPosition.remove(queued);
    }

    /** Removes the requests that match and passes each to a consumer. */
    void removeIf(Predicate<QueuedRequest> condition, Consumer<QueuedRequest> removed) {
        for (QueuedRequest queued : byDispatchOrder.stream().filter(condition).toList()) {
            remove(queued);
            removed.accept(queued);
        }
    }

    private static long earlier(long a, long b) {
        return a - b < 0 ? a : b;
    }
}
