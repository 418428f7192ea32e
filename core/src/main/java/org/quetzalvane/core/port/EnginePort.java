package org.quetzalvane.core.port;

import java.util.concurrent.CompletableFuture;

import org.quetzalvane.core.model.AdapterVersion;
import org.quetzalvane.core.model.Engine;

/**
 * Orders to and requests at model engines.
 *
 * <p>Futures fail with {@link org.quetzalvane.core.exc.EndpointException}, whose {@code provesNotRun} tells whether
 * the order may have taken effect. Implementations are thread-safe and never block the caller.
 */
public interface EnginePort {

    /** Orders an adapter version to be loaded; completes when it is resident. */
    CompletableFuture<Void> load(Engine engine, AdapterVersion version, String weights, long fencingToken);

    /** Orders an adapter version to be unloaded. */
    CompletableFuture<Void> unload(Engine engine, AdapterVersion version, long fencingToken);

    /** A harmless order that makes a checking engine refuse every older fencing number. */
    CompletableFuture<Void> fence(Engine engine, long fencingToken);

    /** Asks what is resident and running. */
    CompletableFuture<EngineReport> report(Engine engine);

    /** Runs an attempt; the listener hears exactly one of {@code end} and {@code failed}, unless cancelled. */
    Cancellation run(Engine engine, AttemptRequest request, AttemptListener listener);

    /** Cancels a running attempt; cancelling twice is harmless. */
    @FunctionalInterface
    interface Cancellation {
        void cancel();
    }
}
