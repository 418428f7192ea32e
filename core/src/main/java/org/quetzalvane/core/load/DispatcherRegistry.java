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
 * The dispatchers of the engines this node holds, one for each fencing number.
 *
 * <p>Invariants: at most one dispatcher per engine takes requests; it works by the engine's configuration in force.
 * Thread-safe; its monitor comes before the locks of the dispatchers.
 */
public final class DispatcherRegistry implements Ownership.Listener {
    private static final long RETRY_MILLIS = 500;

    private final DispatchContext context;
    private final DispatchConfig config;
    private final OwnershipChecks permits;
    private final Map<String, Held> held = new ConcurrentHashMap<>();

    private record Held(long fencingToken, EngineDispatcher dispatcher) {}

    /** Makes the permit of an engine. */
    @FunctionalInterface
    public interface OwnershipChecks {
        OwnershipCheck of(String engine);
    }

    /** Builds an empty registry. */
    public DispatcherRegistry(DispatchContext context, DispatchConfig config, OwnershipChecks permits) {
        this.context = context;
        this.config = config;
        this.permits = permits;
    }

    @Override
    public synchronized void acquired(Engine engine, long fencingToken) {
        Held present = held.get(engine.name());
        if (present != null
                && present.fencingToken == fencingToken
                && present.dispatcher.engine().equals(engine)) {
            return;
        }
        lost(engine.name());
        OwnedEngine lease = new OwnedEngine(engine, fencingToken, permits.of(engine.name()));
        EngineDispatcher d = new EngineDispatcher(lease, context, config);
        held.put(engine.name(), new Held(fencingToken, d));
        d.start();
    }

    @Override
    public synchronized void lost(String engine) {
        Held h = held.remove(engine);
        if (h != null) {
            String message = "engine " + engine + " has another owner";
            h.dispatcher.close(Refusal.retryable(ResultCode.NOT_OWNER, message, RETRY_MILLIS));
        }
    }

    public Optional<EngineDispatcher> find(String engine) {
        return Optional.ofNullable(held.get(engine)).map(h -> h.dispatcher);
    }

    public Collection<EngineDispatcher> all() {
        return held.values().stream().map(h -> h.dispatcher).toList();
    }

    /** Lets every dispatcher look for work, for instance after a load permit arrived. */
    public void dispatchAllPending() {
        all().forEach(EngineDispatcher::dispatchPending);
    }

    /** Refuses everything that waits and completes when nothing runs on any engine. */
    public CompletableFuture<Void> drain(Refusal reason) {
        Collection<CompletableFuture<Void>> drained = new ArrayList<>();
        all().forEach(d -> drained.add(d.close(reason)));
        return CompletableFuture.allOf(drained.toArray(new CompletableFuture<?>[0]));
    }
}
