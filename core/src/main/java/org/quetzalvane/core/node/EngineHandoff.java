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
 * Releases the engines of a leaving node, each as soon as no request of this node runs on it.
 *
 * <p>Engines that are drained within {@link #RELEASE_BATCH_DELAY} share one release record. Thread-safe; its monitor is
 * a leaf in the lock order.
 */
final class EngineHandoff {
    private static final Duration RELEASE_BATCH_DELAY = Duration.ofMillis(20);

    private final DispatcherRegistry dispatchers;
    private final Ownership ownership;
    private final Scheduler scheduler;
    private final Set<String> drainedNames = new HashSet<>();

    EngineHandoff(DispatcherRegistry dispatchers, Ownership ownership, Scheduler scheduler) {
        this.dispatchers = dispatchers;
        this.ownership = ownership;
        this.scheduler = scheduler;
    }

    /** Refuses queued requests and releases every engine and role; completes when all releases succeeded or failed. */
    CompletableFuture<Void> start(Refusal reason) {
        List<CompletableFuture<Void>> released = new ArrayList<>();
        Set<String> otherNames = new HashSet<>(ownership.ownedNames());
        for (EngineDispatcher dispatcher : dispatchers.all()) {
            String engine = dispatcher.engine().name();
            otherNames.remove(engine);
            released.add(dispatcher.close(reason).thenCompose(x -> release(Set.of(engine))));
        }
        released.add(release(otherNames));
        return CompletableFuture.allOf(released.toArray(new CompletableFuture<?>[0]))
                .handle((x, failure) -> null);
    }

    private CompletableFuture<Void> release(Collection<String> names) {
        synchronized (this) {
            drainedNames.addAll(names);
        }
        CompletableFuture<Void> done = new CompletableFuture<>();
        scheduler.schedule(
                RELEASE_BATCH_DELAY,
                () -> ownership.release(takeDrainedNames()).whenComplete((offset, failure) -> done.complete(null)));
        return done;
    }

    private synchronized List<String> takeDrainedNames() {
        List<String> names = List.copyOf(drainedNames);
        drainedNames.clear();
        return names;
    }
}
