package org.quetzalvane.standins.replay;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

import org.quetzalvane.core.ResultCode;
import org.quetzalvane.core.exc.EndpointException;
import org.quetzalvane.core.model.AdapterVersion;
import org.quetzalvane.core.port.AttemptListener;
import org.quetzalvane.core.port.AttemptRequest;
import org.quetzalvane.core.port.EnginePort;
import org.quetzalvane.core.port.EngineReport;
import org.quetzalvane.core.time.Scheduler;

/**
 * Fake engine with adapter slots, loads from the store, and completions that take a fixed time per token.
 *
 * <p>It counts violations: evictions of an adapter in use, loads without a free slot, and more running requests than a
 * batch holds. Not thread-safe.
 */
final class FakeEngine {
    private static final int TOKENS_PER_CHUNK = 16;

    private final Scheduler scheduler;
    private final FakeStore store;
    private final TraceHeader header;
    private final Map<AdapterVersion, Resident> residents = new TreeMap<>();
    private final TreeMap<Long, EngineReport> reportHistory = new TreeMap<>();
    private long reportLagMillis;
    private int instance;
    private int running;
    private int violations;
    private long runningNanos;
    private long busyNanos;
    private long lastAccountedNanos;
    private final Map<String, Runnable> abortActions = new HashMap<>();

    private static final class Resident {
        private boolean loading = true;
        private int runningRequests;
    }

    FakeEngine(Scheduler scheduler, FakeStore store, TraceHeader header) {
        this.scheduler = scheduler;
        this.store = store;
        this.header = header;
    }

    int violations() {
        return violations;
    }

    /** Returns the sum of the running times of all requests so far, in nanoseconds. */
    long runningNanos() {
        return runningNanos;
    }

    /** Returns the time during which at least one request ran, in nanoseconds. */
    long busyNanos() {
        return busyNanos;
    }

    void setReportLag(long millis) {
        reportLagMillis = millis;
    }

    /** Simulates a restart: no adapter is resident any more, and running requests fail. */
    void restart() {
        instance++;
        residents.clear();
        List<Runnable> interrupted = new ArrayList<>(abortActions.values());
        abortActions.clear();
        interrupted.forEach(Runnable::run);
    }

    void load(AdapterVersion v, CompletableFuture<Void> result) {
        Resident current = residents.get(v);
        if (current != null) {
            result.complete(null);
            return;
        }
        if (residents.size() >= header.slots()) {
            violations++;
            result.completeExceptionally(new EndpointException(ResultCode.LOAD_REFUSED, "no free adapter slot", true));
            return;
        }
        Resident r = new Resident();
        residents.put(v, r);
        store.load(ok -> {
            r.loading = false;
            if (ok) {
                result.complete(null);
            } else {
                residents.remove(v, r);
                result.completeExceptionally(new EndpointException(ResultCode.LOAD_REFUSED, "load failed", true));
            }
        });
    }

    void unload(AdapterVersion v) {
        Resident r = residents.remove(v);
        if (r != null && r.runningRequests > 0) {
            violations++;
        }
    }

    EngineReport report() {
        long now = scheduler.nanoTime() / 1_000_000;
        List<EngineReport.Residency> list = new ArrayList<>();
        residents.forEach((v, r) -> list.add(new EngineReport.Residency(v, r.loading, r.runningRequests)));
        reportHistory.put(now, new EngineReport("i" + instance, 0, list));
        Map.Entry<Long, EngineReport> old = reportHistory.floorEntry(now - reportLagMillis);
        Map.Entry<Long, EngineReport> chosen = old == null ? reportHistory.firstEntry() : old;
        reportHistory.headMap(chosen.getKey()).clear();
        EngineReport r = chosen.getValue();
        return new EngineReport(r.instance(), now - chosen.getKey(), r.adapters());
    }

    /**
     * Runs an attempt; the listener is called on the simulated clock, and not after the returned cancellation was
     * called.
     */
    EnginePort.Cancellation run(AttemptRequest request, AttemptListener listener) {
        Resident r = residents.get(request.version());
        if (r == null || r.loading) {
            listener.failed(new EndpointException(ResultCode.ENDPOINT_REJECTED, "not resident", true));
            return () -> {};
        }
        accountTime();
        running++;
        r.runningRequests++;
        if (running > header.batchSize()) {
            violations++;
        }
        RunningCompletion completion = new RunningCompletion(request, listener, r);
        abortActions.put(request.attemptId(), completion::failOnRestart);
        listener.started(request.attemptId(), request.version());
        completion.scheduleNext();
        return completion::finish;
    }

    private void accountTime() {
        long now = scheduler.nanoTime();
        runningNanos += running * (now - lastAccountedNanos);
        busyNanos += running > 0 ? now - lastAccountedNanos : 0;
        lastAccountedNanos = now;
    }

    private final class RunningCompletion {
        private final AttemptRequest request;
        private final AttemptListener listener;
        private final Resident resident;
        private int tokens;
        private int chunks;
        private boolean finished;

        RunningCompletion(AttemptRequest request, AttemptListener listener, Resident resident) {
            this.request = request;
            this.listener = listener;
            this.resident = resident;
        }

        void scheduleNext() {
            int chunkTokens = Math.min(TOKENS_PER_CHUNK, request.maxTokens() - tokens);
            scheduler.schedule(Duration.ofMillis(chunkTokens * header.tokenMillis()), () -> emitChunk(chunkTokens));
        }

        private void emitChunk(int chunkTokens) {
            if (finished) {
                return;
            }
            tokens += chunkTokens;
            listener.part(chunks++, request.version() + " ");
            if (tokens < request.maxTokens()) {
                scheduleNext();
            } else {
                finish();
                listener.end(tokens);
            }
        }

        void failOnRestart() {
            if (!finished) {
                finish();
                listener.failed(new EndpointException(ResultCode.STREAM_BROKEN, "engine restarted", false));
            }
        }

        void finish() {
            if (!finished) {
                accountTime();
                finished = true;
                running--;
                resident.runningRequests--;
                abortActions.remove(request.attemptId());
            }
        }
    }
}
