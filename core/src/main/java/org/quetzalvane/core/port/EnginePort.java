package org.quetzalvane.core.port;

import java.util.concurrent.CompletableFuture;

import org.quetzalvane.core.model.AdapterVersion;
import org.quetzalvane.core.model.Engine;

/**
 * Port for orders and requests to model engines.
 *
 * <p>Futures fail with {@link org.quetzalvane.core.exc.EndpointException}; unless its {@code provesNotRun} is true, the
 * order may have taken effect. Implementations are thread-safe and never block the calling thread.
 */
public interface EnginePort {

    /** Orders the load of an adapter version; completes when it is resident. */
    CompletableFuture<Void> load(Engine engine, AdapterVersion version, String weights, long fencingToken);

    /** Orders the unload of an adapter version; completes when it is unloaded. */
    CompletableFuture<Void> unload(Engine engine, AdapterVersion version, long fencingToken);

    /**
     * Sends a fence order: an engine that checks fencing tokens then refuses every order with a lower token. The order
     * loads and unloads nothing.
     */
    CompletableFuture<Void> fence(Engine engine, long fencingToken);

    /** Reads the resident and loading adapters, with the number of running requests of each. */
    CompletableFuture<EngineReport> report(Engine engine);

    /**
     * Starts an attempt. Calls {@code end} or {@code failed} of the listener exactly once, or at most once if the
     * attempt is cancelled.
     */
    Cancellation run(Engine engine, AttemptRequest request, AttemptListener listener);

    /** Cancels a running attempt; further calls have no effect. */
    @FunctionalInterface
    interface Cancellation {
        void cancel();
    }
}
