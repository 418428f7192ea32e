package org.quetzalvane.core.load;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;

import org.quetzalvane.core.ResultCode;
import org.quetzalvane.core.model.Engine;
import org.quetzalvane.core.ownership.Ownership;
import org.quetzalvane.core.request.Refusal;

/**
 * Registry of the dispatchers of the engines that this node owns, one for each fencing token.
 *
 * <p>Invariants: at most one dispatcher per engine accepts requests, and it uses the engine's current configuration.
 * Thread-safe; its monitor is taken before the locks of the dispatchers.
 */
public final class DispatcherRegistry implements Ownership.Listener {
    private static final long RETRY_AFTER_MILLIS = 500;

    private final DispatchContext context;
    private final DispatchConfig config;
    private final OwnershipChecks ownershipChecks;
    private final Map<String, Entry> entries = new ConcurrentHashMap<>();

    private record Entry(long fencingToken, EngineDispatcher dispatcher) {}

    /** Creates the ownership check of an engine. */
    @FunctionalInterface
    public interface OwnershipChecks {
        OwnershipCheck of(String engine);
    }

    /** Creates an empty registry. */
    public DispatcherRegistry(DispatchContext context, DispatchConfig config, OwnershipChecks ownershipChecks) {
        this.context = context;
        this.config = config;
        this.ownershipChecks = ownershipChecks;
    }

    @Override
    public synchronized void acquired(Engine engine, long fencingToken) {
        Entry present = entries.get(engine.name());
        if (present != null
                && present.fencingToken == fencingToken
                && present.dispatcher.engine().equals(engine)) {
            return;
        }
        lost(engine.name());
        OwnedEngine ownedEngine = new OwnedEngine(engine, fencingToken, ownershipChecks.of(engine.name()));
        EngineDispatcher dispatcher = new EngineDispatcher(ownedEngine, context, config);
        entries.put(engine.name(), new Entry(fencingToken, dispatcher));
        dispatcher.start();
    }

    @Override
    public synchronized void lost(String engine) {
        Entry removed = entries.remove(engine);
        if (removed != null) {
            String message = "the dispatcher of engine " + engine + " on this node has closed";
            removed.dispatcher.close(Refusal.retryable(ResultCode.NOT_OWNER, message, RETRY_AFTER_MILLIS));
        }
    }

    public Optional<EngineDispatcher> find(String engine) {
        return Optional.ofNullable(entries.get(engine)).map(entry -> entry.dispatcher);
    }

    public Collection<EngineDispatcher> all() {
        return entries.values().stream().map(entry -> entry.dispatcher).toList();
    }

    /** Lets every dispatcher dispatch and load what it can now, for instance after a load permit was granted. */
    public void dispatchAllPending() {
        all().forEach(EngineDispatcher::dispatchPending);
    }

    /** Refuses all queued requests; completes when no request runs on any engine. */
    public CompletableFuture<Void> drain(Refusal reason) {
        Collection<CompletableFuture<Void>> drained = new ArrayList<>();
        all().forEach(d -> drained.add(d.close(reason)));
        return CompletableFuture.allOf(drained.toArray(new CompletableFuture<?>[0]));
    }
}
