package org.quetzalvane.core.node;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

import org.quetzalvane.core.load.DispatcherRegistry;
import org.quetzalvane.core.load.EngineDispatcher;
import org.quetzalvane.core.ownership.Ownership;
import org.quetzalvane.core.request.Refusal;
import org.quetzalvane.core.time.Scheduler;

/**
 * Gives the engines of a leaving node up, each as soon as nothing of this node runs on it.
 *
 * <p>Engines that are drained at nearly the same time share one release record. Thread-safe; its monitor is a leaf in
 * the lock order.
 */
final class HandOver {
    private static final Duration GATHER = Duration.ofMillis(20);

    private final DispatcherRegistry dispatchers;
    private final Ownership ownership;
    private final Scheduler scheduler;
    private final Set<String> drained = new HashSet<>();

    HandOver(DispatcherRegistry dispatchers, Ownership ownership, Scheduler scheduler) {
        this.dispatchers = dispatchers;
        this.ownership = ownership;
        this.scheduler = scheduler;
    }

    /** Refuses what waits and releases every engine and role held; completes when that is done or has failed. */
    CompletableFuture<Void> start(Refusal reason) {
        List<CompletableFuture<Void>> released = new ArrayList<>();
        Set<String> others = new HashSet<>(ownership.held());
        for (EngineDispatcher d : dispatchers.all()) {
            String engine = d.engine().name();
            others.remove(engine);
            released.add(d.close(reason).thenCompose(x -> release(Set.of(engine))));
        }
        released.add(release(others));
        return CompletableFuture.allOf(released.toArray(new CompletableFuture<?>[0]))
                .handle((x, failure) -> null);
    }

    private CompletableFuture<Void> release(Collection<String> names) {
        synchronized (this) {
            drained.addAll(names);
        }
        CompletableFuture<Void> done = new CompletableFuture<>();
        scheduler.schedule(
                GATHER, () -> ownership.release(gathered()).whenComplete((offset, failure) -> done.complete(null)));
        return done;
    }

    private synchronized List<String> gathered() {
        List<String> names = List.copyOf(drained);
        drained.clear();
        return names;
    }
}
