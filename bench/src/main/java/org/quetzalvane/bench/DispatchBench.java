package org.quetzalvane.bench;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.quetzalvane.core.ResultCode;
import org.quetzalvane.core.event.EventLog;
import org.quetzalvane.core.event.HybridClock;
import org.quetzalvane.core.load.DispatchConfig;
import org.quetzalvane.core.load.DispatchContext;
import org.quetzalvane.core.load.DispatchListener;
import org.quetzalvane.core.load.EngineDispatcher;
import org.quetzalvane.core.load.LoadBudget;
import org.quetzalvane.core.load.OwnedEngine;
import org.quetzalvane.core.model.AdapterVersion;
import org.quetzalvane.core.model.DataCentre;
import org.quetzalvane.core.model.Engine;
import org.quetzalvane.core.port.AttemptListener;
import org.quetzalvane.core.port.AttemptRequest;
import org.quetzalvane.core.port.EnginePort;
import org.quetzalvane.core.port.EngineReport;
import org.quetzalvane.core.request.InferenceRequest;
import org.quetzalvane.core.request.PendingRequest;
import org.quetzalvane.core.request.Refusal;
import org.quetzalvane.core.request.ResponseSink;
import org.quetzalvane.core.time.ManualScheduler;

/** Sends requests through one dispatcher to an engine that responds at once. Not thread-safe. */
final class DispatchBench {
    private static final AdapterVersion VERSION = new AdapterVersion("a", 1);
    private static final int EVENT_CAPACITY = 20_000;

    private final EngineDispatcher dispatcher;
    private int completedRequests;

    DispatchBench() {
        ManualScheduler time = new ManualScheduler();
        EventLog events = new EventLog("n0", new HybridClock(time), EVENT_CAPACITY, e -> {});
        DispatchContext context = new DispatchContext(
                new InstantEnginePort(),
                new UnlimitedBudget(),
                v -> Optional.of("w"),
                time,
                events,
                DispatchListener.none());
        DataCentre dataCentre = new DataCentre(SampleConfig.REGION, "dc0");
        Engine engine = new Engine("e", "fake://e", "gpu", dataCentre, SampleConfig.BASE_MODEL, 8, 32, false);
        OwnedEngine ownedEngine = new OwnedEngine(engine, 1, () -> true);
        dispatcher = new EngineDispatcher(ownedEngine, context, DispatchConfig.defaults());
        dispatcher.start();
    }

    /** Submits a request and checks that it completed. */
    void request(int number) {
        InferenceRequest r =
                new InferenceRequest("q" + number, "caller", VERSION, "prompt", 1, 0, 0, Long.MAX_VALUE / 2, true);
        int completedBefore = completedRequests;
        dispatcher.submit(new PendingRequest(r, new CountingSink()));
        if (completedRequests != completedBefore + 1) {
            throw new IllegalStateException("request " + number + " did not complete");
        }
    }

    private final class CountingSink implements ResponseSink {

        @Override
        public void part(String text) {}

        @Override
        public void completed(int tokens) {
            completedRequests++;
        }

        @Override
        public void refused(Refusal refusal) {
            throw new IllegalStateException(refusal.toString());
        }

        @Override
        public void failed(ResultCode code, String message) {
            throw new IllegalStateException(code + " " + message);
        }
    }

    private static final class UnlimitedBudget implements LoadBudget {

        @Override
        public boolean tryAcquire(double value) {
            return true;
        }

        @Override
        public void release() {}
    }

    private static final class InstantEnginePort implements EnginePort {

        @Override
        public CompletableFuture<Void> load(Engine engine, AdapterVersion version, String weights, long fencingToken) {
            return CompletableFuture.completedFuture(null);
        }

        @Override
        public CompletableFuture<Void> unload(Engine engine, AdapterVersion version, long fencingToken) {
            return CompletableFuture.completedFuture(null);
        }

        @Override
        public CompletableFuture<Void> fence(Engine engine, long fencingToken) {
            return CompletableFuture.completedFuture(null);
        }

        @Override
        public CompletableFuture<EngineReport> report(Engine engine) {
            EngineReport.Residency resident = new EngineReport.Residency(VERSION, false, 0);
            return CompletableFuture.completedFuture(new EngineReport("i", 0, List.of(resident)));
        }

        @Override
        public Cancellation run(Engine engine, AttemptRequest request, AttemptListener listener) {
            listener.started(request.attemptId(), request.version());
            listener.part(0, "token");
            listener.end(1);
            return () -> {};
        }
    }
}
