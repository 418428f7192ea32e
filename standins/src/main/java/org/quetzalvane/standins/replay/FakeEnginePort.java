package org.quetzalvane.standins.replay;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import org.quetzalvane.core.exc.EndpointException;
import org.quetzalvane.core.model.AdapterVersion;
import org.quetzalvane.core.model.Engine;
import org.quetzalvane.core.port.AttemptListener;
import org.quetzalvane.core.port.AttemptRequest;
import org.quetzalvane.core.port.EnginePort;
import org.quetzalvane.core.port.EngineReport;
import org.quetzalvane.core.time.Scheduler;

/** The engines as one node sees them: a delay each way, and nothing reaches a stopped node. Used by one thread. */
final class FakeEnginePort implements EnginePort {
    private static final Duration DELAY = Duration.ofMillis(1);

    private final Scheduler time;
    private final GatedScheduler node;
    private final Map<String, FakeEngine> engines;

    FakeEnginePort(Scheduler time, GatedScheduler node, Map<String, FakeEngine> engines) {
        this.time = time;
        this.node = node;
        this.engines = engines;
    }

    @Override
    public CompletableFuture<Void> load(Engine engine, AdapterVersion version, String weights, long fencingToken) {
        CompletableFuture<Void> atEngine = new CompletableFuture<>();
        time.schedule(DELAY, () -> engines.get(engine.name()).load(version, atEngine));
        return throughGate(atEngine);
    }

    @Override
    public CompletableFuture<Void> unload(Engine engine, AdapterVersion version, long fencingToken) {
        CompletableFuture<Void> atEngine = new CompletableFuture<>();
        time.schedule(DELAY, () -> {
            engines.get(engine.name()).unload(version);
            atEngine.complete(null);
        });
        return throughGate(atEngine);
    }

    @Override
    public CompletableFuture<Void> fence(Engine engine, long fencingToken) {
        return throughGate(CompletableFuture.completedFuture(null));
    }

    @Override
    public CompletableFuture<EngineReport> report(Engine engine) {
        CompletableFuture<EngineReport> atEngine = new CompletableFuture<>();
        time.schedule(DELAY, () -> atEngine.complete(engines.get(engine.name()).report()));
        return throughGate(atEngine);
    }

    @Override
    public Cancellation run(Engine engine, AttemptRequest request, AttemptListener listener) {
        AttemptListener gated = new GatedListener(node, listener);
        CompletableFuture<Cancellation> running = new CompletableFuture<>();
        time.schedule(DELAY, () -> running.complete(engines.get(engine.name()).run(request, gated)));
        return () -> running.thenAccept(Cancellation::cancel);
    }

    private <T> CompletableFuture<T> throughGate(CompletableFuture<T> atEngine) {
        CompletableFuture<T> atNode = new CompletableFuture<>();
        atEngine.whenComplete((v, failure) -> time.schedule(
                DELAY,
                () -> node.run(() -> {
                    if (failure == null) {
                        atNode.complete(v);
                    } else {
                        atNode.completeExceptionally(failure);
                    }
                })));
        return atNode;
    }

    private record GatedListener(GatedScheduler node, AttemptListener inner) implements AttemptListener {

        @Override
        public void started(String attemptId, AdapterVersion version) {
            node.run(() -> inner.started(attemptId, version));
        }

        @Override
        public void part(int index, String text) {
            node.run(() -> inner.part(index, text));
        }

        @Override
        public void end(int tokens) {
            node.run(() -> inner.end(tokens));
        }

        @Override
        public void failed(EndpointException failure) {
            node.run(() -> inner.failed(failure));
        }
    }
}
