package org.quetzalvane.core.residency;

import java.time.Duration;
import java.util.function.Consumer;

import org.quetzalvane.core.event.EventCode;
import org.quetzalvane.core.event.StructuredLog;
import org.quetzalvane.core.fleet.Endpoint;
import org.quetzalvane.core.routes.AdapterRef;
import org.quetzalvane.core.routes.BaseModel;
import org.quetzalvane.core.routes.EngineSpec;
import org.quetzalvane.core.routes.RequiredVersions;
import org.quetzalvane.core.time.Scheduler;

/**
 * Issues all orders to one instance of an engine, on the node that owns the engine.
 *
 * <p>Invariants: one order is in flight at a time; each order states the number of orders accepted before it, so an
 * order that is carried out late cannot undo a later decision; no load is ordered that would exceed {@link
 * EngineSpec#maxAdapters} by the known state, which includes adapters that are loading or unloading; an adapter in use
 * is not evicted. After an answer that leaves the engine's state uncertain, its report is read before the next order.
 * Requests for one adapter share one load. Confined to the event loop.
 */
public final class EngineController {
    /**
     * Loads in flight to one engine. The platform's limit is 4, but loads beyond those that the weight store serves at
     * full speed only occupy adapter slots, and less urgent loads slow down urgent ones.
     */
    static final int MAX_CONCURRENT_LOADS = 2;
    /**
     * Delay from an order without a certain outcome, or from the decision to read, to the reading of the engine's
     * report, ms; reports lag behind by up to this delay.
     */
    static final long REPORT_DELAY_MS = 150;
    /**
     * Interval at which an engine that has no base model resident or does not respond is checked, ms; up to {@link
     * #REPORT_DELAY_MS} is added.
     */
    static final long MODEL_POLL_INTERVAL_MS = 500;
    /**
     * Interval at which waiting load requests are checked for a free adapter slot, ms; on a busy engine, a request ends
     * every few tens of ms.
     */
    private static final long SLOT_POLL_INTERVAL_MS = 60;
    /**
     * Interval at which the report of an engine that has a base model resident but is busy is read again, ms; up to
     * {@link #REPORT_DELAY_MS} is added.
     */
    private static final long BUSY_POLL_INTERVAL_MS = 300;

    /** Time since a load was counted as completed within which a refusal means that it had not ended, ms. */
    private static final long RECENT_LOAD_MS = 500;
    /** Time for which a load that an engine's refusal shows to have not ended is continued, ms. */
    static final long REFUSED_LOAD_EXTENSION_MS = 40;

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
    /** Number of orders that the engine has accepted, or -1 while its state must be read from a report. */
    private long acceptedOrders = -1;

    private final EngineReachability reachability = new EngineReachability();
    private boolean orderInFlight;
    /** Whether no order may be sent until a report is read or a poll interval has passed. */
    private boolean ordersPaused;

    private boolean closed;
    private boolean pollScheduled;
    /** The last order if its outcome is uncertain, otherwise null. */
    private UncertainOrder uncertainOrder;

    /** Source of the fencing token for orders; a negative token means that no order may be sent. */
    @FunctionalInterface
    public interface TokenSource {
        long current();

        /** Called when an order is sent under the token. */
        default void orderSent() {}

        /** Called when an engine rejected the token as outdated. */
        default void rejected(long token) {}
    }

    /** An order whose answer was CONFLICT, FENCED, REFUSED or UNKNOWN. */
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

    /**
     * Creates the controller of one instance of an engine. Orders are sent only from {@link #request} and {@link
     * #refresh}, and from the timers that they start.
     */
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

    /**
     * Replaces the engine's list entry by a newer one of the same instance and processes waiting requests; loads the
     * first base model if none is resident.
     */
    public void refresh(Endpoint e) {
        engine = e;
        advance();
    }

    /** Whether this node reaches the engine; while it does not, load requests are refused at once. */
    public boolean isReachable() {
        return reachability.isReachable();
    }

    /** Closes the controller: refuses all waiting load requests and sends no further order. */
    public void close() {
        closed = true;
        queue.refuseAll();
    }

    /** Adapters resident on the engine, or null while the state of the engine is unknown. */
    public EngineResidency residency() {
        return acceptedOrders < 0
                ? null
                : new EngineResidency(engine.bornMs(), acceptedOrders, slots.residentVersions());
    }

    /**
     * Requests an adapter. Success marks the adapter as used, which protects it from eviction for {@link
     * AdapterSlotTable#MIN_EVICTION_IDLE_MS}.
     *
     * @param done called once with whether the adapter is resident, possibly before this method returns; false after
     *     the longest wait of the request, when the request is displaced from the queue, when the engine is out of
     *     reach, and on {@link #close()}
     */
    public void request(LoadRequest request, Consumer<Boolean> done) {
        if (closed) {
            done.accept(false);
            return;
        }
        AdapterRef ref = request.adapter();
        if (request.refused()) {
            handleRefusal(ref);
        }
        boolean doubtful = request.refused() && acceptedOrders < 0;
        if (!doubtful
                && !hasUncertainOrder(ref)
                && slots.loading(ref) == null
                && slots.isResident(ref, request.version())) {
            adapterUsage.markUsed(engine.id(), ref);
            done.accept(true);
            return;
        }
        if (!isReachable()) {
            completeRequest(request, false, done);
            advance();
            return;
        }
        queue.add(request, ok -> completeRequest(request, ok, done));
        scheduler.schedule(Duration.ofMillis(request.waitMs()), this::advance);
        advance();
    }

    /**
     * The engine refused a request for an adapter that counts as resident: a load that has just been counted as
     * completed continues for {@link #REFUSED_LOAD_EXTENSION_MS}; otherwise the engine's report is read.
     */
    private void handleRefusal(AdapterRef ref) {
        if (slots.loading(ref) != null || !slots.isAnyVersionResident(ref)) {
            return;
        }
        long loadedNanos = loadTimes.lastLoadedNanos(engine.id(), ref);
        boolean recent =
                loadedNanos != Long.MIN_VALUE && scheduler.nanoTime() - loadedNanos <= RECENT_LOAD_MS * 1_000_000;
        if (!recent) {
            invalidateState();
            return;
        }
        loadTimes.recordTooShort(engine.id(), ref);
        AdapterSlotTable.PendingLoad pending = slots.resumeLoading(ref);
        scheduler.schedule(Duration.ofMillis(REFUSED_LOAD_EXTENSION_MS), () -> loadCompleted(ref, pending));
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
                    slots.occupancy(),
                    "reachable",
                    isReachable());
        }
        done.accept(ok);
    }

    /** Sends the next order or reads the report, whichever is due. */
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
        if (slots.isReportDue()) {
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
     * Schedules a check of the waiting requests, because nothing reports the end of a request on the engine or the
     * start of an assignment.
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
     * Completes the requests for an adapter, or sends the next order needed to make the adapter resident. Returns false
     * if an order was sent, so that other adapters must wait.
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
        long remainingMs = loadTimes.remainingMs(engine.id(), ref);
        if (remainingMs > 0) {
            scheduler.schedule(Duration.ofMillis(remainingMs), () -> loadCompleted(ref, pending));
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
            loadTimes.recordInTime(engine.id(), ref);
            adapterUsage.markUsed(engine.id(), ref);
            int requested = queue.version(ref);
            queue.complete(ref, requested == version || requested == RequiredVersions.ANY_VERSION);
        }
    }

    private void unload(AdapterRef ref) {
        log.log(EventCode.EVICTED, engine.id(), "adapter", ref, "orders", acceptedOrders);
        sendOrder(EngineOrders.Action.UNLOAD, ref, 0, answer -> {
            if (answer == EngineOrders.Answer.ACCEPTED) {
                // The unload waits for running requests; only an unload that is carried out at once frees its slot now.
                acceptedOrders++;
                slots.startUnloading(ref);
                log.log(EventCode.UNLOAD_WAITS, engine.id(), "adapter", ref, "orders", acceptedOrders);
            } else if (answer == EngineOrders.Answer.HOLDS) {
                acceptedOrders++;
                slots.remove(ref);
            }
        });
    }

    /**
     * Orders the load of the most requested base model if none is resident; returns false if none is missing or the
     * model does not fit into the memory.
     */
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
        long token = fencingTokens.current();
        if (token < 0) {
            // The lease has ended since it was checked; a later check decides again.
            return;
        }
        orderInFlight = true;
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
     * Reads the engine's report at least {@link #REPORT_DELAY_MS} after this call or, if there is one, after the
     * uncertain order, as a report shows the effect of an order only some time after the order was sent.
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
        if (r == null || r.bornMs() != engine.bornMs()) {
            reportMissing();
            return;
        }
        reachability.reportRead();
        if (r.busy()) {
            pauseOrders(r.held().isEmpty() ? MODEL_POLL_INTERVAL_MS : BUSY_POLL_INTERVAL_MS);
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

    private void reportMissing() {
        reachability.reportMissing();
        if (isReachable()) {
            pauseOrders(REPORT_DELAY_MS);
        } else {
            queue.refuseAll();
            pauseOrders(MODEL_POLL_INTERVAL_MS);
        }
    }
}
