package org.quetzalvane.core.load;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.locks.ReentrantLock;

import org.quetzalvane.core.ResultCode;
import org.quetzalvane.core.event.EventCode;
import org.quetzalvane.core.event.EventLog;
import org.quetzalvane.core.exc.EndpointException;
import org.quetzalvane.core.model.AdapterVersion;
import org.quetzalvane.core.model.Engine;
import org.quetzalvane.core.port.AttemptRequest;
import org.quetzalvane.core.port.EnginePort;
import org.quetzalvane.core.request.InferenceRequest;
import org.quetzalvane.core.request.PendingRequest;
import org.quetzalvane.core.request.Refusal;
import org.quetzalvane.core.time.Scheduler;

/**
 * Dispatcher of one engine that this node owns: queues requests, orders loads and evictions, and sends attempts.
 *
 * <p>Invariants: nothing is sent to the engine unless this node owns it and its lease is valid; a request is dispatched
 * only to an adapter slot in which exactly its adapter version is resident; an adapter slot with running requests is
 * never unloaded; at most {@code batchSize} attempts run; every request gets one final response.
 *
 * <p>Thread-safe. One lock guards the tables; in the lock order it comes after the configuration's and before those of
 * the load budget and the event log. Ports and response sinks are called after it is released.
 */
public final class EngineDispatcher {
    private static final Duration CHECK_INTERVAL = Duration.ofMillis(50);

    private final Engine engine;
    private final long fencingToken;
    private final EnginePort port;
    private final OwnershipCheck ownershipCheck;
    private final LoadBudget budget;
    private final DispatchConfig config;
    private final Scheduler scheduler;
    private final EventLog events;
    private final DispatchListener listener;

    private final ReentrantLock lock = new ReentrantLock();
    private final SlotTable slots;
    private final BatchDelay batchDelay;
    private final WaitQueue queue;
    private final LoadPlanner planner;
    private final SlotOrders orders;
    private final Map<String, RunningAttempt> running = new HashMap<>();
    private final CompletableFuture<Void> drained = new CompletableFuture<>();
    private final List<Scheduler.Timer> timers = new ArrayList<>();
    private long attemptCount;
    private long batchSinceNanos;
    private Refusal closeReason;

    /** Creates the dispatcher of an engine; {@link #start()} starts it. */
    public EngineDispatcher(OwnedEngine ownedEngine, DispatchContext context, DispatchConfig config) {
        this.engine = ownedEngine.engine();
        this.fencingToken = ownedEngine.fencingToken();
        this.ownershipCheck = ownedEngine.ownershipCheck();
        this.port = context.port();
        this.budget = context.budget();
        this.scheduler = context.scheduler();
        this.events = context.events();
        this.listener = context.listener();
        this.config = config;
        long now = scheduler.nanoTime();
        this.slots =
                new SlotTable(engine.slots(), now, config.maxRequestDuration().toNanos(), budget);
        this.batchDelay = new BatchDelay(config.policy().batchWeight(), engine.batchSize());
        this.queue = new WaitQueue(config.policy(), batchDelay);
        this.planner = new LoadPlanner(config, slots, queue, now);
        this.orders = new SlotOrders(
                ownedEngine, context, new SlotOrders.Tables(lock, slots, planner), this::dispatchPending);
        this.batchSinceNanos = now;
    }

    // Life cycle

    /**
     * Sends a fence order to an engine that checks fencing tokens, so that it refuses orders of earlier owners, and
     * starts to request reports. The result of the fence order is ignored. Dispatch begins with the first report.
     */
    public void start() {
        if (engine.checksFencing()) {
            port.fence(engine, fencingToken).whenComplete((ok, failure) -> orders.requestReport());
        } else {
            orders.requestReport();
        }
        timers.add(scheduler.repeat(config.reportInterval(), orders::requestReport));
        timers.add(scheduler.repeat(CHECK_INTERVAL, this::checkTimeouts));
    }

    /**
     * Refuses new and queued requests; running ones continue.
     *
     * @return completes when no request runs
     */
    public CompletableFuture<Void> close(Refusal reason) {
        List<PendingRequest> refused = new ArrayList<>();
        lock.lock();
        try {
            closeReason = reason;
            refused.addAll(queue.removeIf(queued -> true));
            completeIfDrained();
        } finally {
            lock.unlock();
        }
        refused.forEach(request -> refuse(request, reason));
        return drained;
    }

    // Public API

    public Engine engine() {
        return engine;
    }

    /** Queues a request, or refuses it at once if it cannot be accepted. */
    public void submit(PendingRequest pending) {
        Refusal refusal;
        lock.lock();
        try {
            refusal = closeReason != null ? closeReason : checkAdmission(pending);
            if (refusal == null) {
                long now = scheduler.nanoTime();
                queue.addLast(pending, now, planner.loadDeadlineNanos(pending.request(), now));
            }
        } finally {
            lock.unlock();
        }
        if (refusal != null) {
            refuse(pending, refusal);
            return;
        }
        events.record(EventCode.REQUEST_QUEUED, pending.request().id(), engine.name());
        dispatchPending();
    }

    /** Cancels a request whose caller disconnected: removes it from the queue or cancels its attempt at the engine. */
    public void cancel(PendingRequest pending) {
        pending.markCallerDisconnected();
        RunningAttempt attempt;
        boolean removed;
        lock.lock();
        try {
            removed = queue.remove(pending);
            attempt = running.values().stream()
                    .filter(a -> a.pending() == pending)
                    .findFirst()
                    .orElse(null);
        } finally {
            lock.unlock();
        }
        if (removed) {
            events.record(EventCode.REQUEST_CANCELLED, pending.request().id(), "in queue");
            refuse(pending, Refusal.of(ResultCode.CANCELLED_IN_QUEUE, "the caller disconnected"));
        } else if (attempt != null) {
            events.record(EventCode.REQUEST_CANCELLED, pending.request().id(), "running");
            attempt.abort(ResultCode.CALLER_GONE, "the caller disconnected");
        }
    }

    /** Returns the number of requests queued and running. */
    public int requestCount() {
        lock.lock();
        try {
            return queue.size() + running.size();
        } finally {
            lock.unlock();
        }
    }

    /** Returns the adapter versions that are resident, sorted. */
    public List<AdapterVersion> residentVersions() {
        lock.lock();
        try {
            return slots.all().stream()
                    .filter(s -> s.state() == Slot.State.RESIDENT)
                    .map(Slot::version)
                    .sorted()
                    .toList();
        } finally {
            lock.unlock();
        }
    }

    // Callbacks of running attempts

    long now() {
        return scheduler.nanoTime();
    }

    /** Releases the request slot of an attempt; called once when it ends, before the methods below. */
    void releaseSlot(RunningAttempt attempt) {
        lock.lock();
        try {
            if (running.remove(attempt.id()) != null) {
                reportBatchOccupancy(running.size() + 1);
                attempt.slot().requestEnded(scheduler.nanoTime());
            }
            completeIfDrained();
        } finally {
            lock.unlock();
        }
        scheduler.schedule(Duration.ZERO, this::dispatchPending);
    }

    void recordCompletion(RunningAttempt attempt, int tokens) {
        lock.lock();
        try {
            planner.forecast().requestCompleted(tokens, scheduler.nanoTime() - attempt.startedAtNanos());
        } finally {
            lock.unlock();
        }
        events.record(EventCode.REQUEST_DONE, attempt.pending().request().id(), attempt.id());
    }

    /** Records that a response was dropped because its attempt had ended. */
    void recordLateResponse(RunningAttempt attempt) {
        events.record(EventCode.LATE_ANSWER_DROPPED, attempt.pending().request().id(), attempt.id());
    }

    /**
     * Queues the request of a failed attempt again, or refuses it, if the attempt was provably not run; otherwise fails
     * the request.
     */
    void handleFailure(RunningAttempt attempt, EndpointException failure) {
        PendingRequest pending = attempt.pending();
        if (!failure.provesNotRun()) {
            boolean streaming = pending.state() == PendingRequest.State.STREAMING;
            ResultCode code = streaming ? ResultCode.STREAM_BROKEN : failure.code();
            failRequest(attempt, code.provesNotRun() ? ResultCode.OUTCOME_UNKNOWN : code, failure.getMessage());
            return;
        }
        orders.requestReport();
        if (!requeue(pending, failure)) {
            refuse(pending, Refusal.retryable(ResultCode.ENDPOINT_REJECTED, failure.getMessage(), 1000));
        }
    }

    void failRequest(RunningAttempt attempt, ResultCode code, String message) {
        PendingRequest pending = attempt.pending();
        events.record(EventCode.REQUEST_FAILED, pending.request().id(), code.number() + " " + message);
        pending.fail(code, message);
    }

    private boolean requeue(PendingRequest pending, EndpointException failure) {
        lock.lock();
        try {
            slots.find(pending.request().version())
                    .filter(s -> s.activeRequests() == 0 && failure.code() == ResultCode.ENDPOINT_REJECTED)
                    .ifPresent(s -> slots.freeSlot(s, scheduler.nanoTime()));
            if (closeReason != null || !pending.requeue()) {
                return false;
            }
            long now = scheduler.nanoTime();
            queue.addFirst(pending, now, planner.loadDeadlineNanos(pending.request(), now));
        } finally {
            lock.unlock();
        }
        events.record(EventCode.REQUEST_RETRIED, pending.request().id(), failure.getMessage());
        return true;
    }

    // Queue

    private Refusal checkAdmission(PendingRequest pending) {
        if (!ownershipCheck.isOwner()) {
            return Refusal.retryable(
                    ResultCode.LEASE_LAPSED, "expected ownership under a valid lease of engine " + engine.name(), 1000);
        }
        if (queue.size() >= config.maxQueued()) {
            return Refusal.retryable(
                    ResultCode.OVERLOADED, "the queue of the engine has its maximum number of requests", 1000);
        }
        return queue.countOfCaller(pending.request().caller()) >= config.maxQueuedPerCaller()
                ? Refusal.retryable(
                        ResultCode.OVERLOADED,
                        "the caller has its maximum number of requests in the queue of the engine",
                        1000)
                : planner.recordAndCheckAdmission(pending.request(), scheduler.nanoTime());
    }

    // Dispatch and timeouts

    private void checkTimeouts() {
        List<RunningAttempt> stalled = new ArrayList<>();
        List<PendingRequest> unowned = new ArrayList<>();
        Map<PendingRequest, Refusal> expired = new LinkedHashMap<>();
        lock.lock();
        try {
            long now = scheduler.nanoTime();
            long timeoutNanos = config.progressTimeout().toNanos();
            running.values().stream()
                    .filter(attempt -> now - attempt.lastProgressAtNanos() > timeoutNanos)
                    .forEach(stalled::add);
            removeExpired(now, expired);
            if (!ownershipCheck.isOwner()) {
                unowned.addAll(queue.removeIf(queued -> true));
            }
        } finally {
            lock.unlock();
        }
        stalled.forEach(attempt ->
                attempt.abort(ResultCode.PROGRESS_TIMEOUT, "the engine made no progress within the progress timeout"));
        expired.forEach(this::refuse);
        unowned.forEach(pending -> refuse(
                pending,
                Refusal.retryable(ResultCode.LEASE_LAPSED, "the lease expired while the request was queued", 1000)));
        dispatchPending();
    }

    private void removeExpired(long now, Map<PendingRequest, Refusal> expired) {
        Map<AdapterVersion, Long> waitsNanos = planner.forecastWaits(now);
        queue.removeIf(queued -> {
            Refusal refusal = queued.request().deadlineNanos() - now <= 0
                    ? Refusal.retryable(
                            ResultCode.DEADLINE_UNREACHABLE, "the deadline passed while the request was queued", 1000)
                    : planner.refusalIfUnreachable(
                            queued.request(), now, waitsNanos.getOrDefault(queued.version(), 0L));
            if (refusal != null) {
                expired.put(queued.pending(), refusal);
            }
            return refusal != null;
        });
    }

    /** Dispatches the requests and starts the loads that are possible now. */
    public void dispatchPending() {
        List<Runnable> effects = new ArrayList<>();
        lock.lock();
        try {
            if (slots.hasReport() && ownershipCheck.isOwner()) {
                dispatchResident(effects);
                startLoads(effects);
            }
        } finally {
            lock.unlock();
        }
        effects.forEach(Runnable::run);
    }

    private void dispatchResident(List<Runnable> effects) {
        List<WaitGroup> readyGroups = readyGroups();
        if (!batchDelay.allowsDispatch(readyGroups, running.size(), scheduler.nanoTime())) {
            return;
        }
        while (running.size() < engine.batchSize() && !readyGroups.isEmpty()) {
            WaitGroup group = config.policy().fairSharing()
                    ? Collections.min(readyGroups, Comparator.comparing(WaitGroup::head, WaitGroup.DISPATCH_ORDER))
                    : readyGroups.get(0);
            QueuedRequest queued = queue.poll(group.version());
            if (queued.pending().dispatch()) {
                effects.add(startAttempt(queued, slots.find(group.version()).orElseThrow()));
            }
            if (group.isEmpty()) {
                readyGroups.remove(group);
            }
        }
    }

    /** Returns the waiting groups whose adapter is resident, in order of creation. */
    private List<WaitGroup> readyGroups() {
        List<WaitGroup> readyGroups = new ArrayList<>();
        for (Slot s : slots.all()) {
            if (s.state() == Slot.State.RESIDENT) {
                queue.find(s.version()).ifPresent(readyGroups::add);
            }
        }
        readyGroups.sort(Comparator.comparingLong(WaitGroup::sequence));
        return readyGroups;
    }

    private Runnable startAttempt(QueuedRequest queued, Slot slot) {
        long now = scheduler.nanoTime();
        InferenceRequest request = queued.pending().request();
        attemptCount++;
        RunningAttempt attempt =
                new RunningAttempt(request.id() + "." + attemptCount, queued.pending(), slot, this, now);
        reportBatchOccupancy(running.size());
        running.put(attempt.id(), attempt);
        slot.requestStarted(now);
        listener.dispatched(now - request.arrivalNanos(), Math.max(0, slot.changedAtNanos() - queued.queuedAtNanos()));
        return () -> sendAttempt(attempt, request);
    }

    private void sendAttempt(RunningAttempt attempt, InferenceRequest request) {
        if (!ownershipCheck.isOwner()) {
            attempt.failed(new EndpointException(
                    ResultCode.LEASE_LAPSED, "the lease expired before the attempt was sent", true));
            return;
        }
        events.record(
                EventCode.REQUEST_DISPATCHED,
                request.id(),
                attempt.id() + " to " + engine.name() + " " + request.version());
        AttemptRequest attemptRequest = new AttemptRequest(
                attempt.id(), request.version(), request.prompt(), request.maxTokens(), request.priority(), 0);
        attempt.setCancellation(port.run(engine, attemptRequest, attempt));
        if (!ownershipCheck.isOwner()) {
            attempt.abort(ResultCode.OUTCOME_UNKNOWN, "the lease expired while the attempt was sent");
        }
    }

    private void startLoads(List<Runnable> effects) {
        long now = scheduler.nanoTime();
        for (Optional<LoadPlanner.NextLoad> next = planner.next(now); next.isPresent(); next = planner.next(now)) {
            Optional<Slot> victim = slots.hasFreeSlot() ? Optional.empty() : planner.victim(now);
            boolean hasRoom = slots.hasFreeSlot() || victim.isPresent();
            if (!hasRoom || !budget.tryAcquire(next.get().value())) {
                return;
            }
            planner.loadStarted(now);
            Slot slot = slots.startLoad(next.get().version(), now);
            victim.ifPresent(evicted -> evicted.state(Slot.State.UNLOADING, now));
            effects.add(() -> orders.load(slot, victim));
        }
    }

    // Helpers

    private void reportBatchOccupancy(int runningBefore) {
        long now = scheduler.nanoTime();
        if (runningBefore > 0) {
            listener.batchOccupancy(runningBefore, engine.batchSize(), now - batchSinceNanos);
        }
        batchSinceNanos = now;
    }

    private void completeIfDrained() {
        if (closeReason != null && running.isEmpty() && !drained.isDone()) {
            timers.forEach(Scheduler.Timer::cancel);
            scheduler.schedule(Duration.ZERO, () -> drained.complete(null));
        }
    }

    private void refuse(PendingRequest pending, Refusal refusal) {
        if (pending.refuse(refusal)) {
            listener.refused(refusal.code());
            events.record(
                    EventCode.REQUEST_REFUSED,
                    pending.request().id(),
                    refusal.code().number() + " " + refusal.message());
        }
    }
}
