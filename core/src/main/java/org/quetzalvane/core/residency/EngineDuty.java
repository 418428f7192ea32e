package org.quetzalvane.core.residency;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

import org.quetzalvane.core.event.DecisionLog;
import org.quetzalvane.core.event.EventCode;
import org.quetzalvane.core.fleet.Endpoint;
import org.quetzalvane.core.routes.AdapterRef;
import org.quetzalvane.core.routes.BaseModel;
import org.quetzalvane.core.routes.EngineSpec;
import org.quetzalvane.core.time.Scheduler;

/**
 * All orders to one life of one engine, given by the node that holds its duty.
 *
 * <p>Invariants: one order is on its way at a time; each names the number of orders accepted before it, so an order
 * that is carried out late changes nothing that was decided since; never more adapters than places, those on their
 * way included; an adapter in use is not evicted. After an answer that leaves the engine's state in doubt its report
 * is read before the next order. Answers the pattern of many callers that want the same rare adapter at once: they
 * wait for one load. Confined to the event loop.
 */
public final class EngineDuty {
    /** Adapters on their way to one engine at once; the platform allows no more. */
    static final int MAX_LOADING = 4;
    /** Longest wait for a load before its outcome is read from the engine, ms: four times the published 250 ms. */
    static final long LOAD_TIMEOUT_MS = 1_000;
    /** Pause before the engine's report is read, ms: reports are some hundred ms old. */
    static final long REPORT_PAUSE_MS = 150;
    /** Pause between looks at an engine that loads its base model, ms. */
    static final long MODEL_POLL_MS = 500;
    /**
     * Unused time before an adapter may be evicted, ms: a report of the peers, and the time for which they send without
     * asking.
     */
    static final long EVICTION_AGE_MS = 450;

    /** Adapters that may be waited for at once; a place is freed two or three times a second, callers wait 1 to 2 s. */
    static final int MAX_WAITING = 4;
    /** Pause before those who wait for a place are looked at again, ms; a run ends every few tens of ms. */
    private static final long PLACE_POLL_MS = 60;
    /** Time for which the place of an unload that waits for runs stays taken, ms; the longest runs last as long. */
    static final long VACATING_MS = 10_000;
    /** Pause before the report of an engine that carries out an order is read again, ms. */
    private static final long BUSY_POLL_MS = 300;

    private final Scheduler scheduler;
    private final EngineOrders orders;
    private final DecisionLog log;
    private final AdapterUse use;
    private final DutyToken token;
    private final LoadTimes times;
    private final EngineSpec spec;
    private Endpoint engine;

    private final Map<String, Map<String, Integer>> held = new HashMap<>();
    private final Map<AdapterRef, Loading> loading = new HashMap<>();
    private final Map<AdapterRef, Waiting> waiting = new LinkedHashMap<>();
    private long accepted = -1;
    private boolean orderOut;
    private boolean reading;
    private boolean closed;
    private boolean polling;
    private final Map<AdapterRef, Long> vacating = new HashMap<>();
    private AdapterRef doubtful;
    private boolean trusted;

    /** Whether and under which fencing token orders may be given now; a token below zero forbids them. */
    @FunctionalInterface
    public interface DutyToken {
        long current();

        /** Takes note that an engine refused a token as outdated. */
        default void refused(long token) {}
    }

    private record Loading(int version, long sinceNanos) {}

    private static final class Waiting {
        private final int version;
        private final long untilNanos;
        private final List<Consumer<Boolean>> callbacks = new ArrayList<>();

        Waiting(int version, long untilNanos) {
            this.version = version;
            this.untilNanos = untilNanos;
        }
    }

    /**
     * What all duties of a node share. Immutable.
     *
     * @param scheduler clock and timers
     * @param orders way of the orders to engines
     * @param log takes the decisions
     * @param use adapters in use
     * @param times how long loads take
     */
    public record Context(Scheduler scheduler, EngineOrders orders, DecisionLog log, AdapterUse use, LoadTimes times) {}

    /** Builds the duty for one life of an engine; orders follow as requests come. */
    public EngineDuty(Context shared, DutyToken token, EngineSpec spec, Endpoint engine) {
        this.scheduler = shared.scheduler();
        this.orders = shared.orders();
        this.log = shared.log();
        this.use = shared.use();
        this.times = shared.times();
        this.token = token;
        this.spec = spec;
        this.engine = engine;
    }

    public Endpoint engine() {
        return engine;
    }

    /** Takes a newer entry of the same life. */
    public void refresh(Endpoint e) {
        engine = e;
        if (accepted >= 0 && e.orders() > accepted) {
            distrust();
        }
        pump();
    }

    /** Ends the duty; everyone who waits is told that the adapter did not come. */
    public void close() {
        closed = true;
        List<Waiting> left = List.copyOf(waiting.values());
        waiting.clear();
        left.forEach(w -> complete(w, false));
    }

    /** What the engine holds, once it has been read; null before. */
    public EngineHolding holding() {
        return accepted < 0 ? null : new EngineHolding(engine.bornMs(), accepted, deepCopy(held));
    }

    /** Asks for an adapter; {@code done} is told once whether the engine holds it. */
    public void request(AdapterRef ref, int version, long waitMs, Consumer<Boolean> done) {
        if (closed) {
            done.accept(false);
            return;
        }
        if (!ref.equals(doubtful) && !loading.containsKey(ref) && holds(ref, version)) {
            use.touch(engine.id(), ref);
            done.accept(true);
            return;
        }
        Waiting w = waiting.get(ref);
        if (w == null && waiting.size() >= MAX_WAITING) {
            done.accept(false);
            return;
        }
        if (w != null && w.version != version) {
            waiting.remove(ref);
            complete(w, false);
            w = null;
        }
        if (w == null) {
            w = new Waiting(version, scheduler.nanoTime() + waitMs * 1_000_000);
            waiting.put(ref, w);
            scheduler.schedule(Duration.ofMillis(waitMs), this::pump);
        }
        w.callbacks.add(done);
        pump();
    }

    private void pump() {
        if (closed) {
            return;
        }
        dropExpired();
        pollForPlaces();
        if (orderOut || reading || token.current() < 0) {
            return;
        }
        if (accepted < 0) {
            readReport();
            return;
        }
        settleOverdueLoads();
        if (accepted < 0 || orderMissingModel()) {
            return;
        }
        List<Map.Entry<AdapterRef, Waiting>> byCallers = new ArrayList<>(waiting.entrySet());
        byCallers.sort(Comparator.comparingInt(e -> -e.getValue().callbacks.size()));
        for (Map.Entry<AdapterRef, Waiting> e : byCallers) {
            if (!advance(e.getKey(), e.getValue())) {
                return;
            }
        }
    }

    /** Those who wait are looked at again, as runs end and duties begin without a notice. */
    private void pollForPlaces() {
        if (!waiting.isEmpty() && !polling) {
            polling = true;
            scheduler.schedule(Duration.ofMillis(PLACE_POLL_MS), () -> {
                polling = false;
                pump();
            });
        }
    }

    /** Takes the next step towards an adapter; false when an order is out and others must wait. */
    private boolean advance(AdapterRef ref, Waiting w) {
        Loading l = loading.get(ref);
        if (l != null) {
            return true;
        }
        if (holds(ref, w.version)) {
            waiting.remove(ref);
            use.touch(engine.id(), ref);
            complete(w, true);
            return true;
        }
        if (vacating.containsKey(ref)) {
            return true;
        }
        boolean outdated = adapters(ref.model()).containsKey(ref.adapter());
        if (outdated && use.inUse(engine.id(), ref) || !held.containsKey(ref.model())) {
            waiting.remove(ref);
            complete(w, false);
            return true;
        }
        if (loading.size() >= MAX_LOADING) {
            return true;
        }
        if (outdated) {
            // A version on its way takes a place beside the one that it replaces.
            unload(ref);
            return false;
        }
        BaseModel model = spec.model(ref.model()).orElse(null);
        int limit = model == null ? 0 : spec.adapterLimit(model);
        if (places() < limit) {
            load(ref, w.version);
            return false;
        }
        AdapterRef victim = leastRecentlyUsed();
        if (victim == null) {
            return true;
        }
        unload(victim);
        return false;
    }

    private void load(AdapterRef ref, int version) {
        log.decided(EventCode.LOAD_STARTED, engine.id(), "adapter", ref, "version", version, "orders", accepted);
        order(EngineOrders.Action.LOAD, ref, version, answer -> {
            if (answer == EngineOrders.Answer.ACCEPTED) {
                accepted++;
                adapters(ref.model()).remove(ref.adapter());
                long now = scheduler.nanoTime();
                loading.put(ref, new Loading(version, now));
                long expectedMs = times.started(engine.id(), ref);
                scheduler.schedule(Duration.ofMillis(expectedMs), () -> loaded(ref, now));
            } else if (answer == EngineOrders.Answer.HOLDS) {
                resident(ref, version);
            }
        });
    }

    private void loaded(AdapterRef ref, long since) {
        Loading l = loading.get(ref);
        if (closed || l == null || l.sinceNanos() != since) {
            return;
        }
        loading.remove(ref);
        resident(ref, l.version());
        pump();
    }

    private void resident(AdapterRef ref, int version) {
        adapters(ref.model()).put(ref.adapter(), version);
        times.loaded(engine.id(), ref);
        log.decided(EventCode.LOAD_FINISHED, engine.id(), "adapter", ref, "version", version);
        Waiting w = waiting.remove(ref);
        if (w != null) {
            use.touch(engine.id(), ref);
            complete(w, w.version == version || w.version == 0);
        }
    }

    private void unload(AdapterRef ref) {
        log.decided(EventCode.EVICTED, engine.id(), "adapter", ref, "orders", accepted);
        order(EngineOrders.Action.UNLOAD, ref, 0, answer -> {
            if (answer == EngineOrders.Answer.ACCEPTED) {
                // It waits for runs; only an unload that is done at once frees its place now.
                vacating.put(ref, scheduler.nanoTime() + VACATING_MS * 1_000_000);
            }
            if (answer == EngineOrders.Answer.ACCEPTED || answer == EngineOrders.Answer.HOLDS) {
                accepted++;
                adapters(ref.model()).remove(ref.adapter());
            }
        });
    }

    private boolean orderMissingModel() {
        if (spec.models().isEmpty() || !held.isEmpty()) {
            return false;
        }
        BaseModel m = spec.models().get(0);
        if (m.weightsMb() > spec.weightsMb()) {
            return false;
        }
        log.decided(EventCode.LOAD_STARTED, engine.id(), "model", m.name(), "orders", accepted);
        order(EngineOrders.Action.LOAD, new AdapterRef(m.name(), ""), 0, answer -> {
            distrust();
            pauseOrders(MODEL_POLL_MS);
        });
        return true;
    }

    private void pauseOrders(long ms) {
        reading = true;
        scheduler.schedule(Duration.ofMillis(ms), () -> {
            reading = false;
            pump();
        });
    }

    private void order(EngineOrders.Action action, AdapterRef ref, int version, Consumer<EngineOrders.Answer> then) {
        orderOut = true;
        trusted = true;
        long t = token.current();
        orders.order(engine, new EngineOrders.Order(action, ref, version, accepted, t), answer -> {
            orderOut = false;
            if (closed) {
                return;
            }
            doubtful = answer == EngineOrders.Answer.ACCEPTED || answer == EngineOrders.Answer.HOLDS ? null : ref;
            settle(action, ref, answer, t);
            if (trusted) {
                then.accept(answer);
            }
            pump();
        });
    }

    private void settle(EngineOrders.Action action, AdapterRef ref, EngineOrders.Answer answer, long t) {
        switch (answer) {
            case FENCED -> {
                token.refused(t);
                distrust();
                log.decided(EventCode.ORDER_FENCED, engine.id(), "token", t);
            }
            case CONFLICT, REFUSED, UNKNOWN -> {
                distrust();
                log.decided(EventCode.ORDER_IN_DOUBT, engine.id(), "order", action, "adapter", ref, "answer", answer);
            }
            default -> {}
        }
    }

    /** The state known is in doubt: the engine's report is read before the next order. */
    private void distrust() {
        trusted = false;
        accepted = -1;
        loading.clear();
    }

    private void readReport() {
        reading = true;
        scheduler.schedule(Duration.ofMillis(REPORT_PAUSE_MS), () -> orders.report(engine, this::reported));
    }

    private void reported(EngineOrders.Report r) {
        reading = false;
        if (closed) {
            return;
        }
        if (r == null || r.bornMs() != engine.bornMs() || r.busy()) {
            pauseOrders(r != null && !r.held().isEmpty() ? BUSY_POLL_MS : MODEL_POLL_MS);
            return;
        }
        accepted = r.orders();
        doubtful = null;
        held.clear();
        r.held().forEach((m, a) -> held.put(m, new HashMap<>(a)));
        long now = scheduler.nanoTime();
        r.pending().forEach(ref -> loading.put(ref, new Loading(-1, now)));
        log.decided(EventCode.ENGINE_READ, engine.id(), "orders", accepted, "adapters", places());
        pump();
    }

    /** A load whose end was not seen keeps its place until the engine's report settles it. */
    private void settleOverdueLoads() {
        long now = scheduler.nanoTime();
        for (Iterator<Loading> i = loading.values().iterator(); i.hasNext(); ) {
            Loading l = i.next();
            if (l.version() < 0 && now - l.sinceNanos() > LOAD_TIMEOUT_MS * 1_000_000) {
                distrust();
                readReport();
                return;
            }
        }
    }

    private void dropExpired() {
        long now = scheduler.nanoTime();
        for (Map.Entry<AdapterRef, Waiting> e : List.copyOf(waiting.entrySet())) {
            if (now >= e.getValue().untilNanos) {
                waiting.remove(e.getKey());
                complete(e.getValue(), false);
            }
        }
    }

    private AdapterRef leastRecentlyUsed() {
        AdapterRef found = null;
        long oldest = Long.MAX_VALUE;
        long newestAllowed = scheduler.nanoTime() - EVICTION_AGE_MS * 1_000_000;
        for (Map.Entry<String, Map<String, Integer>> m : held.entrySet()) {
            for (String a : m.getValue().keySet()) {
                AdapterRef ref = new AdapterRef(m.getKey(), a);
                long used = Math.max(use.lastUsedNanos(engine.id(), ref), times.loadedNanos(engine.id(), ref));
                boolean evictable = !vacating.containsKey(ref)
                        && !use.inUse(engine.id(), ref)
                        && !waiting.containsKey(ref)
                        && used <= newestAllowed;
                if (evictable && used < oldest) {
                    oldest = used;
                    found = ref;
                }
            }
        }
        return found;
    }

    private boolean holds(AdapterRef ref, int version) {
        Integer v = adapters(ref.model()).get(ref.adapter());
        return v != null && (version == 0 || version == v);
    }

    /** Places taken, those of adapters on their way included. */
    private int places() {
        Set<AdapterRef> all = new HashSet<>(loading.keySet());
        vacating.values().removeIf(until -> until <= scheduler.nanoTime());
        all.addAll(vacating.keySet());
        held.forEach((m, a) -> a.keySet().forEach(n -> all.add(new AdapterRef(m, n))));
        return all.size();
    }

    private Map<String, Integer> adapters(String model) {
        Map<String, Integer> a = held.get(model);
        return a == null ? Map.of() : a;
    }

    private static void complete(Waiting w, boolean ok) {
        w.callbacks.forEach(c -> c.accept(ok));
    }

    private static Map<String, Map<String, Integer>> deepCopy(Map<String, Map<String, Integer>> from) {
        Map<String, Map<String, Integer>> copy = new HashMap<>();
        from.forEach((m, a) -> copy.put(m, Map.copyOf(a)));
        return copy;
    }
}
