package org.quetzalvane.core.port;

import java.util.concurrent.CompletableFuture;

import org.quetzalvane.core.model.AdapterVersion;
import org.quetzalvane.core.model.Engine;

/**
 * Port for orders and requests to model engines.
 *
 * <p>Futures fail with {@link org.quetzalvane.core.exc.EndpointException}, whose {@code provesNotRun} tells whether
 * the order may have taken effect. Implementations are thread-safe and never block the calling thread.
 */
public interface EnginePort {

    /** Orders the load of an adapter version; completes when it is resident. */
    CompletableFuture<Void> load(Engine engine, AdapterVersion version, String weights, long fencingToken);

    /** Orders the unload of an adapter version; completes when it is unloaded. */
    CompletableFuture<Void> unload(Engine engine, AdapterVersion version, long fencingToken);

    /** An order without other effect after which an engine that checks fencing tokens refuses every lower one. */
    CompletableFuture<Void> fence(Engine engine, long fencingToken);

    /** Reads which adapters are resident and how many requests they run. */
    CompletableFuture<EngineReport> report(Engine engine);

    /** Starts an attempt; unless it is cancelled, exactly one of {@code end} and {@code failed} is called. */
    Cancellation run(Engine engine, AttemptRequest request, AttemptListener listener);

    /** Cancels a running attempt; further calls have no effect. */
    @FunctionalInterface
    interface Cancellation {
        void cancel();
    }
}
