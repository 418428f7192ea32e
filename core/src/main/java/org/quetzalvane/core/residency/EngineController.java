package org.quetzalvane.core.residency;

import java.time.Duration;
import java.util.function.Consumer;

import org.quetzalvane.core.event.EventCode;
import org.quetzalvane.core.event.StructuredLog;
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
public final class EngineController {
    /**
     * Adapters on their way to one engine at once; the platform allows four, but more than the store serves at full
     * speed only hold places and let less urgent loads slow urgent ones.
     */
    static final int MAX_LOADING = 2;
    /** Longest wait for a load before its outcome is read from the engine, ms: four times the published 250 ms. */
    static final long LOAD_TIMEOUT_MS = 1_000;
    /** Pause before the engine's report is read, ms: reports are some hundred ms old. */
    static final long REPORT_PAUSE_MS = 150;
    /** Pause between looks at an engine that loads its base model, ms. */
    static final long MODEL_POLL_MS = 500;
    /** Pause before those who wait for a place are looked at again, ms; a run ends every few tens of ms. */
    private static final long PLACE_POLL_MS = 60;
    /** Pause before the report of an engine that carries out an order is read again, ms. */
    private static final long BUSY_POLL_MS = 300;

    private final Scheduler scheduler;
    private final EngineOrders orders;
    private final StructuredLog log;
    private final AdapterUsage use;
    private final TokenSource token;
    private final LoadTimeEstimator times;
    private final EngineSpec spec;
    private Endpoint engine;

    private final PlaceTable places;
    private final LoadQueue waiting;
    private long accepted = -1;
    private boolean orderOut;
    private boolean reading;
    private boolean closed;
    private boolean polling;
    private Doubt doubt;

    /** Whether and under which fencing token orders may be given now; a token below zero forbids them. */
    @FunctionalInterface
    public interface TokenSource {
        long current();

        /** Takes note that an order goes out under the token. */
        default void orderSent() {}

        /** Takes note that an engine refused a token as outdated. */
        default void rejected(long token) {}
    }

    /** An order without an answer, or refused on grounds that the holder did not know of. */
    private record Doubt(EngineOrders.Action action, AdapterRef ref, int version, long sentNanos) {}

    /**
     * What all duties of a node share. Immutable.
     *
     * @param scheduler clock and timers
     * @param orders way of the orders to engines
     * @param log takes the decisions
     * @param use adapters in use
     * @param times how long loads take
     */
    public record Context(
            Scheduler scheduler, EngineOrders orders, StructuredLog log, AdapterUsage use, LoadTimeEstimator times) {}

    /** Builds the duty for one life of an engine; orders follow as requests come. */
    public EngineController(Context shared, TokenSource token, EngineSpec spec, Endpoint engine) {
        this.scheduler = shared.scheduler();
        this.orders = shared.orders();
        this.log = shared.log();
        this.use = shared.use();
        this.times = shared.times();
        this.token = token;
        this.spec = spec;
        this.engine = engine;
        this.places = new PlaceTable(scheduler, use, times, engine.id());
        this.waiting = new LoadQueue(scheduler);
    }

    public Endpoint engine() {
        return engine;
    }

    /** Takes a newer entry of the same life. */
    public void refresh(Endpoint e) {
        engine = e;
        pump();
    }

    /** Ends the duty; everyone who waits is told that the adapter did not come. */
    public void close() {
        closed = true;
        waiting.close();
    }

    /** What the engine holds, once it has been read; null before. */
    public EngineResidency holding() {
        return accepted < 0 ? null : new EngineResidency(engine.bornMs(), accepted, places.held());
    }

    /** Asks for an adapter; {@code done} is told once whether the engine holds it. */
    public void request(LoadRequest wish, Consumer<Boolean> done) {
        if (closed) {
            done.accept(false);
            return;
        }
        AdapterRef ref = wish.adapter();
        if (!inDoubt(ref) && places.loading(ref) == null && places.holds(ref, wish.version())) {
            use.markUsed(engine.id(), ref);
            done.accept(true);
            return;
        }
        waiting.add(wish, ok -> answer(wish, ok, done));
        scheduler.schedule(Duration.ofMillis(wish.waitMs()), this::pump);
        pump();
    }

    private boolean inDoubt(AdapterRef ref) {
        return doubt != null && doubt.ref().equals(ref);
    }

    private void answer(LoadRequest wish, boolean ok, Consumer<Boolean> done) {
        if (!ok) {
            log.log(
                    EventCode.LOAD_REFUSED,
                    engine.id(),
                    "adapter",
                    wish.adapter(),
                    "rank",
                    wish.rank(),
                    "wait_ms",
                    wish.waitMs(),
                    "orders",
                    accepted,
                    "places",
                    places.taken());
        }
        done.accept(ok);
    }

    private void pump() {
        if (closed) {
            return;
        }
        waiting.expire();
        pollForPlaces();
        if (orderOut || reading || token.current() < 0) {
            return;
        }
        if (accepted < 0) {
            readReport();
            return;
        }
        if (places.hasOverdueLoad(LOAD_TIMEOUT_MS)) {
            distrust();
            readReport();
            return;
        }
        if (orderMissingModel()) {
            return;
        }
        for (AdapterRef ref : waiting.inOrder()) {
            if (waiting.contains(ref) && !advance(ref, waiting.version(ref))) {
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
    private boolean advance(AdapterRef ref, int version) {
        if (places.loading(ref) != null) {
            return true;
        }
        if (places.holds(ref, version)) {
            use.markUsed(engine.id(), ref);
            waiting.finish(ref, true);
            return true;
        }
        if (places.isVacating(ref)) {
            return true;
        }
        boolean outdated = places.holdsAny(ref);
        if (outdated && use.inUse(engine.id(), ref) || !places.hasModel(ref.model())) {
            waiting.finish(ref, false);
            return true;
        }
        if (places.loadingCount() >= MAX_LOADING) {
            return true;
        }
        if (outdated) {
            // A version on its way takes a place beside the one that it replaces.
            unload(ref);
            return false;
        }
        if (places.count() < placeLimit(ref)) {
            load(ref, version);
            return false;
        }
        AdapterRef victim = places.leastRecentlyUsed(waiting::contains);
        if (victim == null) {
            return true;
        }
        unload(victim);
        return false;
    }

    private int placeLimit(AdapterRef ref) {
        return spec.model(ref.model()).map(spec::maxAdapters).orElse(0);
    }

    private void load(AdapterRef ref, int version) {
        log.log(EventCode.LOAD_STARTED, engine.id(), "adapter", ref, "version", version, "orders", accepted);
        order(EngineOrders.Action.LOAD, ref, version, answer -> {
            if (answer == EngineOrders.Answer.ACCEPTED) {
                accepted++;
                begun(ref, version);
            } else if (answer == EngineOrders.Answer.HOLDS) {
                resident(ref, version);
            }
        });
    }

    private void begun(AdapterRef ref, int version) {
        PlaceTable.Loading l = places.startLoading(ref, version);
        long expectedMs = times.started(engine.id(), ref);
        scheduler.schedule(Duration.ofMillis(expectedMs), () -> loaded(ref, l));
    }

    private void loaded(AdapterRef ref, PlaceTable.Loading begun) {
        if (closed || places.loading(ref) != begun) {
            return;
        }
        places.stopLoading(ref);
        resident(ref, begun.version());
        pump();
    }

    private void resident(AdapterRef ref, int version) {
        places.resident(ref, version);
        log.log(EventCode.LOAD_FINISHED, engine.id(), "adapter", ref, "version", version);
        if (waiting.contains(ref)) {
            use.markUsed(engine.id(), ref);
            int wanted = waiting.version(ref);
            waiting.finish(ref, wanted == version || wanted == 0);
        }
    }

    private void unload(AdapterRef ref) {
        log.log(EventCode.EVICTED, engine.id(), "adapter", ref, "orders", accepted);
        order(EngineOrders.Action.UNLOAD, ref, 0, answer -> {
            if (answer == EngineOrders.Answer.ACCEPTED) {
                // It waits for runs; only an unload that is done at once frees its place now.
                accepted++;
                places.vacate(ref);
                log.log(EventCode.UNLOAD_WAITS, engine.id(), "adapter", ref, "orders", accepted);
            } else if (answer == EngineOrders.Answer.HOLDS) {
                accepted++;
                places.drop(ref);
            }
        });
    }

    private boolean orderMissingModel() {
        if (spec.models().isEmpty() || !places.isEmpty()) {
            return false;
        }
        BaseModel m = spec.models().get(0);
        if (m.weightsMb() > spec.weightsMb()) {
            return false;
        }
        log.log(EventCode.LOAD_STARTED, engine.id(), "model", m.name(), "orders", accepted);
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
        long t = token.current();
        token.orderSent();
        long sentNanos = scheduler.nanoTime();
        orders.order(engine, new EngineOrders.Order(action, ref, version, accepted, t), answer -> {
            orderOut = false;
            if (closed) {
                return;
            }
            boolean sure = answer == EngineOrders.Answer.ACCEPTED || answer == EngineOrders.Answer.HOLDS;
            doubt = sure ? null : new Doubt(action, ref, version, sentNanos);
            settle(action, ref, answer, t);
            then.accept(answer);
            pump();
        });
    }

    private void settle(EngineOrders.Action action, AdapterRef ref, EngineOrders.Answer answer, long t) {
        switch (answer) {
            case FENCED -> {
                token.rejected(t);
                distrust();
                log.log(EventCode.ORDER_FENCED, engine.id(), "token", t);
            }
            case CONFLICT, REFUSED, UNKNOWN -> {
                distrust();
                log.log(EventCode.ORDER_IN_DOUBT, engine.id(), "order", action, "adapter", ref, "answer", answer);
            }
            default -> {}
        }
    }

    /** The state known is in doubt: the engine's report is read before the next order. */
    private void distrust() {
        accepted = -1;
    }

    /** A report shows an order in doubt only some time after the order was sent. */
    private void readReport() {
        reading = true;
        long sinceOrderMs = doubt == null ? 0 : (scheduler.nanoTime() - doubt.sentNanos()) / 1_000_000;
        long pauseMs = Math.max(0, REPORT_PAUSE_MS - sinceOrderMs);
        scheduler.schedule(Duration.ofMillis(pauseMs), () -> orders.report(engine, this::reported));
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
        if (doubt != null
                && doubt.action() == EngineOrders.Action.LOAD
                && r.pending().contains(doubt.ref())) {
            begun(doubt.ref(), doubt.version());
        }
        doubt = null;
        places.reported(r);
        log.log(EventCode.ENGINE_READ, engine.id(), "orders", accepted, "adapters", places.count());
        pump();
    }
}
