package org.quetzalvane.core.load;

import java.util.Comparator;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.function.Predicate;

import org.quetzalvane.core.model.AdapterVersion;

/**
 * Requests that wait for one adapter version at one engine, in the order in which they will be dispatched.
 *
 * <p>Not thread-safe; guarded by the lock of its {@link EngineDispatcher}.
 */
final class WaitGroup implements LoadPolicy.Group {
    static final Comparator<Waiting> ORDER = Comparator.comparingInt(Waiting::rank)
            .thenComparingDouble(Waiting::tag)
            .thenComparingLong(Waiting::place);

    private final AdapterVersion version;
    private final long number;
    private final TreeSet<Waiting> byTurn = new TreeSet<>(ORDER);
    private final TreeSet<Waiting> byPlace = new TreeSet<>(Comparator.comparingLong(Waiting::place));
    private long promisedNanos;
    private long heldUntilNanos;

    WaitGroup(AdapterVersion version, long number) {
        this.version = version;
        this.number = number;
    }

    @Override
    public AdapterVersion version() {
        return version;
    }

    @Override
    public int size() {
        return byTurn.size();
    }

    @Override
    public long firstArrivalNanos() {
        return byPlace.first().request().arrivalNanos();
    }

    /** Counts the groups of an engine in the order in which they came to be. */
    long number() {
        return number;
    }

    boolean isEmpty() {
        return byTurn.isEmpty();
    }

    Waiting head() {
        return byTurn.first();
    }

    /** The earliest instant by which the load was promised to a request of the group. */
    long promisedNanos() {
        return promisedNanos;
    }

    /** The earliest instant until which a request of the group may be held back. */
    long heldUntilNanos() {
        return heldUntilNanos;
    }

    /** The caller of all requests, or null when there are several. */
    String onlyCaller() {
        String caller = byTurn.first().request().caller();
        return byTurn.stream().allMatch(w -> w.request().caller().equals(caller)) ? caller : null;
    }

    void add(Waiting w) {
        promisedNanos = isEmpty() ? w.promisedNanos() : earlier(promisedNanos, w.promisedNanos());
        heldUntilNanos = isEmpty() ? w.heldUntilNanos() : earlier(heldUntilNanos, w.heldUntilNanos());
        byTurn.add(w);
        byPlace.add(w);
    }

    void remove(Waiting w) {
        byTurn.remove(w);
        byPlace.remove(w);
    }

    /** Removes the requests that fit and tells of each. */
    void removeIf(Predicate<Waiting> condition, Consumer<Waiting> removed) {
        for (Waiting w : byTurn.stream().filter(condition).toList()) {
            remove(w);
            removed.accept(w);
        }
    }

    private static long earlier(long a, long b) {
        return a - b < 0 ? a : b;
    }
}
