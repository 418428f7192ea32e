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
 * Issues all orders to one instance of an engine, on the node that owns it.
 *
 * <p>Invariants: one order is in flight at a time; each order states the number of orders accepted before it, so an
 * order that is carried out late cannot undo a later decision; there are never more adapters than adapter slots,
 * including those being loaded; an adapter in use is not evicted. After an answer that leaves the engine's state
 * uncertain, its report is read before the next order. Handles many requests for the same rare adapter at once: they
 * wait for one load. Confined to the event loop.
 */
public final class EngineController {
    /**
     * Loads in flight to one engine; the platform allows four, but loads beyond those that the store serves at full
     * speed only occupy adapter slots and let less urgent loads slow down urgent ones.
     */
    static final int MAX_CONCURRENT_LOADS = 2;
    /**
     * Time after which a load known only from a report is overdue and the report is read again, ms: four times the
     * published 250 ms.
     */
    static final long LOAD_TIMEOUT_MS = 1_000;
    /**
     * Delay from an order without a certain outcome to the reading of the engine's report, ms; reports lag by some
     * hundred ms.
     */
    static final long REPORT_DELAY_MS = 150;
    /** Interval at which an engine is checked that has no base model resident or does not respond, ms. */
    static final long MODEL_POLL_INTERVAL_MS = 500;
    /**
     * Interval at which waiting load requests are checked for a free adapter slot, ms; a run ends every few tens of ms.
     */
    private static final long SLOT_POLL_INTERVAL_MS = 60;
    /** Interval at which the report is read again of an engine that has a base model resident but is busy, ms. */
    private static final long BUSY_POLL_INTERVAL_MS = 300;

    private final Scheduler scheduler;
    private final EngineOrders orderPort;
    private final StructuredLog log;
    private final AdapterUsage adapterUsage;
    private final TokenSource fencingTokens;
    private final LoadTimeEstimator loadTimes;
    private final EngineSpec spec;
    private Endpoint engine;

    private final AdapterSlotTable slots;
    private final LoadQueue queue;
    private long acceptedOrders = -1;
    private boolean orderInFlight;
    private boolean ordersPaused;
    private boolean closed;
    private boolean pollScheduled;
    private UncertainOrder uncertainOrder;

    /** Source of the fencing token for orders; a negative token forbids orders. */
    @FunctionalInterface
    public interface TokenSource {
        long current();

        /** Called when an order is sent under the token. */
        default void orderSent() {}

        /** Called when an engine rejected the token as outdated. */
        default void rejected(long token) {}
    }

    /** An order without an answer, or refused for a reason unknown to the controller. */
    private record UncertainOrder(EngineOrders.Action action, AdapterRef ref, int version, long sentNanos) {}

    /**
     * What all controllers of a node share. Immutable.
     *
     * @param scheduler clock and timers
     * @param orders port for orders to engines
     * @param log structured log
     * @param adapterUsage adapters in use
     * @param loadTimes estimates durations of loads
     */
    public record Context(
            Scheduler scheduler,
            EngineOrders orders,
            StructuredLog log,
            AdapterUsage adapterUsage,
            LoadTimeEstimator loadTimes) {}

    /** Creates the controller of one instance of an engine; orders follow as load requests arrive. */
    public EngineController(Context context, TokenSource fencingTokens, EngineSpec spec, Endpoint engine) {
        this.scheduler = context.scheduler();
        this.orderPort = context.orders();
        this.log = context.log();
        this.adapterUsage = context.adapterUsage();
        this.loadTimes = context.loadTimes();
        this.fencingTokens = fencingTokens;
        this.spec = spec;
        this.engine = engine;
        this.slots = new AdapterSlotTable(scheduler, adapterUsage, loadTimes, engine.id());
        this.queue = new LoadQueue(scheduler);
    }

    public Endpoint engine() {
        return engine;
    }

    /** Replaces the engine's list entry by a newer one of the same instance. */
    public void refresh(Endpoint e) {
        engine = e;
        advance();
    }

    /** Closes the controller; all waiting load requests fail. */
    public void close() {
        closed = true;
        queue.close();
    }

    /** Adapters resident on the engine, or null while its report has not been read. */
    public EngineResidency residency() {
        return acceptedOrders < 0
                ? null
                : new EngineResidency(engine.bornMs(), acceptedOrders, slots.residentVersions());
    }

    /** Requests an adapter; {@code done} is called once with whether the adapter is resident. */
    public void request(LoadRequest request, Consumer<Boolean> done) {
        if (closed) {
            done.accept(false);
            return;
        }
        AdapterRef ref = request.adapter();
        if (!hasUncertainOrder(ref) && slots.loading(ref) == null && slots.isResident(ref, request.version())) {
            adapterUsage.markUsed(engine.id(), ref);
            done.accept(true);
            return;
        }
        queue.add(request, ok -> completeRequest(request, ok, done));
        scheduler.schedule(Duration.ofMillis(request.waitMs()), this::advance);
        advance();
    }

    private boolean hasUncertainOrder(AdapterRef ref) {
        return uncertainOrder != null && uncertainOrder.ref().equals(ref);
    }

    private void completeRequest(LoadRequest request, boolean ok, Consumer<Boolean> done) {
        if (!ok) {
            log.log(
                    EventCode.LOAD_REFUSED,
                    engine.id(),
                    "adapter",
                    request.adapter(),
                    "rank",
                    request.rank(),
                    "wait_ms",
                    request.waitMs(),
                    "orders",
                    acceptedOrders,
                    "places",
                    slots.occupancy());
        }
        done.accept(ok);
    }

    private void advance() {
        if (closed) {
            return;
        }
        queue.expire();
        schedulePoll();
        if (orderInFlight || ordersPaused || fencingTokens.current() < 0) {
            return;
        }
        if (acceptedOrders < 0) {
            readReport();
            return;
        }
        if (slots.hasOverdueLoad(LOAD_TIMEOUT_MS)) {
            invalidateState();
            readReport();
            return;
        }
        if (loadFirstModelIfNone()) {
            return;
        }
        for (AdapterRef ref : queue.adaptersByUrgency()) {
            if (queue.contains(ref) && !advanceLoad(ref, queue.version(ref))) {
                return;
            }
        }
    }

    /**
     * Checks the waiting requests at intervals, because nothing reports the end of a run or the start of an assignment.
     */
    private void schedulePoll() {
        if (!queue.isEmpty() && !pollScheduled) {
            pollScheduled = true;
            scheduler.schedule(Duration.ofMillis(SLOT_POLL_INTERVAL_MS), () -> {
                pollScheduled = false;
                advance();
            });
        }
    }

    /**
     * Takes the next step towards an adapter; returns false if an order is in flight, so that other adapters must wait.
     */
    private boolean advanceLoad(AdapterRef ref, int version) {
        if (slots.loading(ref) != null) {
            return true;
        }
        if (slots.isResident(ref, version)) {
            adapterUsage.markUsed(engine.id(), ref);
            queue.complete(ref, true);
            return true;
        }
        if (slots.isUnloading(ref)) {
            return true;
        }
        boolean outdated = slots.isAnyVersionResident(ref);
        if (outdated && adapterUsage.inUse(engine.id(), ref) || !slots.isModelResident(ref.model())) {
            queue.complete(ref, false);
            return true;
        }
        if (slots.loadingCount() >= MAX_CONCURRENT_LOADS) {
            return true;
        }
        if (outdated) {
            // A version being loaded takes an adapter slot beside the version that it replaces.
            unload(ref);
            return false;
        }
        if (slots.takenCount() < adapterLimit(ref)) {
            load(ref, version);
            return false;
        }
        AdapterRef victim = slots.leastRecentlyUsed(queue::contains);
        if (victim == null) {
            return true;
        }
        unload(victim);
        return false;
    }

    private int adapterLimit(AdapterRef ref) {
        return spec.model(ref.model()).map(spec::maxAdapters).orElse(0);
    }

    private void load(AdapterRef ref, int version) {
        log.log(EventCode.LOAD_STARTED, engine.id(), "adapter", ref, "version", version, "orders", acceptedOrders);
        sendOrder(EngineOrders.Action.LOAD, ref, version, answer -> {
            if (answer == EngineOrders.Answer.ACCEPTED) {
                acceptedOrders++;
                loadAccepted(ref, version);
            } else if (answer == EngineOrders.Answer.HOLDS) {
                markResident(ref, version);
            }
        });
    }

    private void loadAccepted(AdapterRef ref, int version) {
        AdapterSlotTable.PendingLoad pending = slots.startLoading(ref, version);
        long expectedMs = loadTimes.loadStarted(engine.id(), ref);
        scheduler.schedule(Duration.ofMillis(expectedMs), () -> loadCompleted(ref, pending));
    }

    private void loadCompleted(AdapterRef ref, AdapterSlotTable.PendingLoad pending) {
        if (closed || slots.loading(ref) != pending) {
            return;
        }
        slots.stopLoading(ref);
        markResident(ref, pending.version());
        advance();
    }

    private void markResident(AdapterRef ref, int version) {
        slots.markResident(ref, version);
        log.log(EventCode.LOAD_FINISHED, engine.id(), "adapter", ref, "version", version);
        if (queue.contains(ref)) {
            adapterUsage.markUsed(engine.id(), ref);
            int requested = queue.version(ref);
            queue.complete(ref, requested == version || requested == 0);
        }
    }

    private void unload(AdapterRef ref) {
        log.log(EventCode.EVICTED, engine.id(), "adapter", ref, "orders", acceptedOrders);
        sendOrder(EngineOrders.Action.UNLOAD, ref, 0, answer -> {
            if (answer == EngineOrders.Answer.ACCEPTED) {
                // The unload waits for running requests; only an unload that is done at once frees its slot now.
                acceptedOrders++;
                slots.startUnloading(ref);
                log.log(EventCode.UNLOAD_WAITS, engine.id(), "adapter", ref, "orders", acceptedOrders);
            } else if (answer == EngineOrders.Answer.HOLDS) {
                acceptedOrders++;
                slots.remove(ref);
            }
        });
    }

    private boolean loadFirstModelIfNone() {
        if (spec.models().isEmpty() || !slots.hasNoModel()) {
            return false;
        }
        BaseModel m = spec.models().get(0);
        if (m.weightsMb() > spec.memoryMb()) {
            return false;
        }
        log.log(EventCode.LOAD_STARTED, engine.id(), "model", m.name(), "orders", acceptedOrders);
        sendOrder(EngineOrders.Action.LOAD, new AdapterRef(m.name(), ""), 0, answer -> {
            invalidateState();
            pauseOrders(MODEL_POLL_INTERVAL_MS);
        });
        return true;
    }

    private void pauseOrders(long ms) {
        ordersPaused = true;
        scheduler.schedule(Duration.ofMillis(ms), () -> {
            ordersPaused = false;
            advance();
        });
    }

    private void sendOrder(
            EngineOrders.Action action, AdapterRef ref, int version, Consumer<EngineOrders.Answer> then) {
        orderInFlight = true;
        long token = fencingTokens.current();
        fencingTokens.orderSent();
        long sentNanos = scheduler.nanoTime();
        orderPort.order(engine, new EngineOrders.Order(action, ref, version, acceptedOrders, token), answer -> {
            orderInFlight = false;
            if (closed) {
                return;
            }
            boolean certain = answer == EngineOrders.Answer.ACCEPTED || answer == EngineOrders.Answer.HOLDS;
            uncertainOrder = certain ? null : new UncertainOrder(action, ref, version, sentNanos);
            handleOrderAnswer(action, ref, answer, token);
            then.accept(answer);
            advance();
        });
    }

    private void handleOrderAnswer(EngineOrders.Action action, AdapterRef ref, EngineOrders.Answer answer, long token) {
        switch (answer) {
            case FENCED -> {
                fencingTokens.rejected(token);
                invalidateState();
                log.log(EventCode.ORDER_FENCED, engine.id(), "token", token);
            }
            case CONFLICT, REFUSED, UNKNOWN -> {
                invalidateState();
                log.log(EventCode.ORDER_IN_DOUBT, engine.id(), "order", action, "adapter", ref, "answer", answer);
            }
            default -> {}
        }
    }

    /** Marks the known state as uncertain, so that the engine's report is read before the next order. */
    private void invalidateState() {
        acceptedOrders = -1;
    }

    /**
     * Reads the engine's report after a delay, as a report shows the effect of an uncertain order only some time after
     * the order was sent.
     */
    private void readReport() {
        ordersPaused = true;
        long sinceOrderMs =
                uncertainOrder == null ? 0 : (scheduler.nanoTime() - uncertainOrder.sentNanos()) / 1_000_000;
        long delayMs = Math.max(0, REPORT_DELAY_MS - sinceOrderMs);
        scheduler.schedule(Duration.ofMillis(delayMs), () -> orderPort.report(engine, this::onReport));
    }

    private void onReport(EngineOrders.Report r) {
        ordersPaused = false;
        if (closed) {
            return;
        }
        if (r == null || r.bornMs() != engine.bornMs() || r.busy()) {
            pauseOrders(r != null && !r.held().isEmpty() ? BUSY_POLL_INTERVAL_MS : MODEL_POLL_INTERVAL_MS);
            return;
        }
        acceptedOrders = r.acceptedOrders();
        if (uncertainOrder != null
                && uncertainOrder.action() == EngineOrders.Action.LOAD
                && r.pending().contains(uncertainOrder.ref())) {
            loadAccepted(uncertainOrder.ref(), uncertainOrder.version());
        }
        uncertainOrder = null;
        slots.applyReport(r);
        log.log(EventCode.ENGINE_READ, engine.id(), "orders", acceptedOrders, "adapters", slots.takenCount());
        advance();
    }
}
