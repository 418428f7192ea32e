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

/**
 * Engine port of one node in a replay.
 *
 * <p>Loads, unloads and reports take 1 ms each way, a fence takes 1 ms, and a completion starts after 1 ms; its events
 * are not delayed. Responses and events wait while the node is frozen and are dropped once it is killed. Not
 * thread-safe.
 */
final class FakeEnginePort implements EnginePort {
    private static final Duration NETWORK_DELAY = Duration.ofMillis(1);

    private final Scheduler scheduler;
    private final NodeScheduler nodeScheduler;
    private final Map<String, FakeEngine> engines;

    FakeEnginePort(Scheduler scheduler, NodeScheduler nodeScheduler, Map<String, FakeEngine> engines) {
        this.scheduler = scheduler;
        this.nodeScheduler = nodeScheduler;
        this.engines = engines;
    }

    @Override
    public CompletableFuture<Void> load(Engine engine, AdapterVersion version, String weights, long fencingToken) {
        CompletableFuture<Void> engineResult = new CompletableFuture<>();
        scheduler.schedule(NETWORK_DELAY, () -> engines.get(engine.name()).load(version, engineResult));
        return deliverToNode(engineResult);
    }

    @Override
    public CompletableFuture<Void> unload(Engine engine, AdapterVersion version, long fencingToken) {
        CompletableFuture<Void> engineResult = new CompletableFuture<>();
        scheduler.schedule(NETWORK_DELAY, () -> {
            engines.get(engine.name()).unload(version);
            engineResult.complete(null);
        });
        return deliverToNode(engineResult);
    }

    @Override
    public CompletableFuture<Void> fence(Engine engine, long fencingToken) {
        return deliverToNode(CompletableFuture.completedFuture(null));
    }

    @Override
    public CompletableFuture<EngineReport> report(Engine engine) {
        CompletableFuture<EngineReport> engineResult = new CompletableFuture<>();
        scheduler.schedule(
                NETWORK_DELAY,
                () -> engineResult.complete(engines.get(engine.name()).report()));
        return deliverToNode(engineResult);
    }

    @Override
    public Cancellation run(Engine engine, AttemptRequest request, AttemptListener listener) {
        AttemptListener nodeListener = new NodeListener(nodeScheduler, listener);
        CompletableFuture<Cancellation> running = new CompletableFuture<>();
        scheduler.schedule(
                NETWORK_DELAY, () -> running.complete(engines.get(engine.name()).run(request, nodeListener)));
        return () -> running.thenAccept(Cancellation::cancel);
    }

    private <T> CompletableFuture<T> deliverToNode(CompletableFuture<T> engineResult) {
        CompletableFuture<T> nodeResult = new CompletableFuture<>();
        engineResult.whenComplete((v, failure) -> scheduler.schedule(
                NETWORK_DELAY,
                () -> nodeScheduler.runOnNode(() -> {
                    if (failure == null) {
                        nodeResult.complete(v);
                    } else {
                        nodeResult.completeExceptionally(failure);
                    }
                })));
        return nodeResult;
    }

    private record NodeListener(NodeScheduler nodeScheduler, AttemptListener delegate) implements AttemptListener {

        @Override
        public void started(String attemptId, AdapterVersion version) {
            nodeScheduler.runOnNode(() -> delegate.started(attemptId, version));
        }

        @Override
        public void part(int index, String text) {
            nodeScheduler.runOnNode(() -> delegate.part(index, text));
        }

        @Override
        public void end(int tokens) {
            nodeScheduler.runOnNode(() -> delegate.end(tokens));
        }

        @Override
        public void failed(EndpointException failure) {
            nodeScheduler.runOnNode(() -> delegate.failed(failure));
        }
    }
}
