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
 * One engine: slots, loads from the store, and completions that take a fixed time per token.
 *
 * <p>It counts broken promises: evictions of an adapter in use and more requests than a batch holds. Used by the
 * replaying thread only.
 */
final class FakeEngine {
    private static final int TOKENS_PER_PART = 16;

    private final Scheduler time;
    private final FakeStore store;
    private final TraceHeader sizes;
    private final Map<AdapterVersion, Resident> residents = new TreeMap<>();
    private final TreeMap<Long, EngineReport> history = new TreeMap<>();
    private long reportLagMillis;
    private int instance;
    private int running;
    private int violations;
    private long usedNanos;
    private long busyNanos;
    private long accountedNanos;
    private final Map<String, Runnable> cuts = new HashMap<>();

    private static final class Resident {
        private boolean loading = true;
        private int users;
    }

    FakeEngine(Scheduler time, FakeStore store, TraceHeader sizes) {
        this.time = time;
        this.store = store;
        this.sizes = sizes;
    }

    int violations() {
        return violations;
    }

    /** Slot-time used by running requests, in nanoseconds. */
    long usedNanos() {
        return usedNanos;
    }

    /** Time in which at least one request ran, in nanoseconds. */
    long busyNanos() {
        return busyNanos;
    }

    void reportLag(long millis) {
        reportLagMillis = millis;
    }

    /** Comes back empty; what ran breaks off. */
    void restart() {
        instance++;
        residents.clear();
        List<Runnable> cut = new ArrayList<>(cuts.values());
        cuts.clear();
        cut.forEach(Runnable::run);
    }

    void load(AdapterVersion v, CompletableFuture<Void> answer) {
        Resident present = residents.get(v);
        if (present != null) {
            answer.complete(null);
            return;
        }
        if (residents.size() >= sizes.slots()) {
            violations++;
            answer.completeExceptionally(new EndpointException(ResultCode.LOAD_REFUSED, "no free slot", true));
            return;
        }
        Resident r = new Resident();
        residents.put(v, r);
        store.load(ok -> {
            r.loading = false;
            if (ok) {
                answer.complete(null);
            } else {
                residents.remove(v, r);
                answer.completeExceptionally(new EndpointException(ResultCode.LOAD_REFUSED, "load failed", true));
            }
        });
    }

    void unload(AdapterVersion v) {
        Resident r = residents.remove(v);
        if (r != null && r.users > 0) {
            violations++;
        }
    }

    EngineReport report() {
        long now = time.nanoTime() / 1_000_000;
        List<EngineReport.Residency> list = new ArrayList<>();
        residents.forEach((v, r) -> list.add(new EngineReport.Residency(v, r.loading, r.users)));
        history.put(now, new EngineReport("i" + instance, 0, list));
        Map.Entry<Long, EngineReport> old = history.floorEntry(now - reportLagMillis);
        Map.Entry<Long, EngineReport> chosen = old == null ? history.firstEntry() : old;
        history.headMap(chosen.getKey()).clear();
        EngineReport r = chosen.getValue();
        return new EngineReport(r.instance(), now - chosen.getKey(), r.adapters());
    }

    /** Runs an attempt; events reach the listener through the gate of its node. */
    EnginePort.Cancellation run(AttemptRequest request, AttemptListener listener) {
        Resident r = residents.get(request.version());
        if (r == null || r.loading) {
            listener.failed(new EndpointException(ResultCode.ENDPOINT_REJECTED, "not resident", true));
            return () -> {};
        }
        account();
        running++;
        r.users++;
        if (running > sizes.batchSize()) {
            violations++;
        }
        Run run = new Run(request, listener, r);
        cuts.put(request.attemptId(), run::breakOff);
        listener.started(request.attemptId(), request.version());
        run.next();
        return run::finish;
    }

    private void account() {
        long now = time.nanoTime();
        usedNanos += running * (now - accountedNanos);
        busyNanos += running > 0 ? now - accountedNanos : 0;
        accountedNanos = now;
    }

    private final class Run {
        private final AttemptRequest request;
        private final AttemptListener listener;
        private final Resident resident;
        private int tokens;
        private int parts;
        private boolean over;

        Run(AttemptRequest request, AttemptListener listener, Resident resident) {
            this.request = request;
            this.listener = listener;
            this.resident = resident;
        }

        void next() {
            int step = Math.min(TOKENS_PER_PART, request.maxTokens() - tokens);
            time.schedule(Duration.ofMillis(step * sizes.tokenMillis()), () -> produce(step));
        }

        private void produce(int step) {
            if (over) {
                return;
            }
            tokens += step;
            listener.part(parts++, request.version() + " ");
            if (tokens < request.maxTokens()) {
                next();
            } else {
                finish();
                listener.end(tokens);
            }
        }

        void breakOff() {
            if (!over) {
                finish();
                listener.failed(new EndpointException(ResultCode.STREAM_BROKEN, "the engine restarted", false));
            }
        }

        void finish() {
            if (!over) {
                account();
                over = true;
                running--;
                resident.users--;
                cuts.remove(request.attemptId());
            }
        }
    }
}
