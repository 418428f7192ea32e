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
 * The owner's side of one engine: queues requests, orders loads and evictions, and dispatches.
 *
 * <p>Invariants: nothing is written to the engine without a valid permit; a request is dispatched only to a resident
 * slot holding exactly its adapter version; a slot with users is never unloaded; at most {@code batchSize} attempts
 * run; every ticket gets one final answer.
 *
 * <p>Thread-safe. One lock guards the tables; in the lock order it comes after the configuration's and before those of
 * the load budget and the event log. Calls to ports and sinks are made after it is released.
 */
public final class EngineDispatcher {
    private static final Duration TICK = Duration.ofMillis(50);

    private final Engine engine;
    private final long fencingToken;
    private final EnginePort port;
    private final OwnershipCheck permit;
    private final LoadBudget budget;
    private final DispatchConfig config;
    private final Scheduler scheduler;
    private final EventLog events;
    private final DispatchListener stats;

    private final ReentrantLock lock = new ReentrantLock();
    private final SlotTable slots;
    private final BatchGate gate;
    private final WaitQueue waiting;
    private final LoadPlanner planner;
    private final SlotOrders orders;
    private final Map<String, RunningAttempt> running = new HashMap<>();
    private final CompletableFuture<Void> drained = new CompletableFuture<>();
    private final List<Scheduler.Timer> timers = new ArrayList<>();
    private long attempts;
    private long batchSinceNanos;
    private Refusal closed;

    /** Builds the dispatcher of an engine just gained; nothing happens before {@link #start()}. */
    public EngineDispatcher(OwnedEngine lease, DispatchContext context, DispatchConfig config) {
        this.engine = lease.engine();
        this.fencingToken = lease.fencingToken();
        this.permit = lease.permit();
        this.port = context.port();
        this.budget = context.budget();
        this.scheduler = context.scheduler();
        this.events = context.events();
        this.stats = context.stats();
        this.config = config;
        long now = scheduler.nanoTime();
        this.slots =
                new SlotTable(engine.slots(), now, config.maxRequestDuration().toNanos(), budget);
        this.gate = new BatchGate(config.policy().batchWeight(), engine.batchSize());
        this.waiting = new WaitQueue(config.policy(), gate);
        this.planner = new LoadPlanner(config, slots, waiting, now);
        this.orders =
                new SlotOrders(lease, context, new SlotOrders.Tables(lock, slots, planner), this::dispatchPending);
        this.batchSinceNanos = now;
    }

    // Life cycle

    /** Shuts older owners out and asks the engine what is resident; dispatch begins with its first report. */
    public void start() {
        if (engine.checksFencing()) {
            port.fence(engine, fencingToken).whenComplete((ok, failure) -> orders.askReport());
        } else {
            orders.askReport();
        }
        timers.add(scheduler.repeat(config.reportInterval(), orders::askReport));
        timers.add(scheduler.repeat(TICK, this::tick));
    }

    /**
     * Takes no new requests and refuses those that wait; running ones go on.
     *
     * @return completes when nothing runs any more
     */
    public CompletableFuture<Void> close(Refusal reason) {
        List<PendingRequest> refused = new ArrayList<>();
        lock.lock();
        try {
            closed = reason;
            refused.addAll(waiting.removeIf(w -> true));
            completeIfDrained();
        } finally {
            lock.unlock();
        }
        refused.forEach(t -> refuse(t, reason));
        return drained;
    }

    // Public API

    public Engine engine() {
        return engine;
    }

    /** Queues a request; it is answered at once with a refusal when it cannot be taken. */
    public void submit(PendingRequest ticket) {
        Refusal refusal;
        lock.lock();
        try {
            refusal = closed != null ? closed : admission(ticket);
            if (refusal == null) {
                long now = scheduler.nanoTime();
                waiting.addLast(ticket, now, planner.promise(ticket.request(), now));
            }
        } finally {
            lock.unlock();
        }
        if (refusal != null) {
            refuse(ticket, refusal);
            return;
        }
        events.record(EventCode.REQUEST_QUEUED, ticket.request().id(), engine.name());
        dispatchPending();
    }

    /** The caller went away: drops the request from the queue or cancels it at the engine. */
    public void cancel(PendingRequest ticket) {
        ticket.markCallerDisconnected();
        RunningAttempt attempt;
        boolean removed;
        lock.lock();
        try {
            removed = waiting.remove(ticket);
            attempt = running.values().stream()
                    .filter(a -> a.ticket() == ticket)
                    .findFirst()
                    .orElse(null);
        } finally {
            lock.unlock();
        }
        if (removed) {
            events.record(EventCode.REQUEST_CANCELLED, ticket.request().id(), "in queue");
            refuse(ticket, Refusal.of(ResultCode.CANCELLED_IN_QUEUE, "the caller went away"));
        } else if (attempt != null) {
            events.record(EventCode.REQUEST_CANCELLED, ticket.request().id(), "running");
            attempt.abandon(ResultCode.CALLER_GONE, "the caller went away");
        }
    }

    /** Requests waiting and running now. */
    public int requestCount() {
        lock.lock();
        try {
            return waiting.size() + running.size();
        } finally {
            lock.unlock();
        }
    }

    /** Adapter versions that can serve at once. */
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

    // Answers of running attempts

    long now() {
        return scheduler.nanoTime();
    }

    void ended(RunningAttempt attempt) {
        lock.lock();
        try {
            if (running.remove(attempt.id()) != null) {
                accountBatch(running.size() + 1);
                attempt.slot().unuse(scheduler.nanoTime());
            }
            completeIfDrained();
        } finally {
            lock.unlock();
        }
        scheduler.schedule(Duration.ZERO, this::dispatchPending);
    }

    void done(RunningAttempt attempt, int tokens) {
        lock.lock();
        try {
            planner.forecast().answered(tokens, scheduler.nanoTime() - attempt.startNanos());
        } finally {
            lock.unlock();
        }
        events.record(EventCode.REQUEST_DONE, attempt.ticket().request().id(), attempt.id());
    }

    void late(RunningAttempt attempt) {
        events.record(EventCode.LATE_ANSWER_DROPPED, attempt.ticket().request().id(), attempt.id());
    }

    void attemptFailed(RunningAttempt attempt, EndpointException failure) {
        PendingRequest t = attempt.ticket();
        if (!failure.provesNotRun()) {
            boolean streaming = t.state() == PendingRequest.State.STREAMING;
            ResultCode code = streaming ? ResultCode.STREAM_BROKEN : failure.code();
            abandoned(attempt, code.provesNotRun() ? ResultCode.OUTCOME_UNKNOWN : code, failure.getMessage());
            return;
        }
        orders.askReport();
        if (!retry(t, failure)) {
            refuse(t, Refusal.retryable(ResultCode.ENDPOINT_REJECTED, failure.getMessage(), 1000));
        }
    }

    void abandoned(RunningAttempt attempt, ResultCode code, String message) {
        PendingRequest t = attempt.ticket();
        events.record(EventCode.REQUEST_FAILED, t.request().id(), code.number() + " " + message);
        t.fail(code, message);
    }

    private boolean retry(PendingRequest t, EndpointException failure) {
        lock.lock();
        try {
            slots.find(t.request().version())
                    .filter(s -> s.users() == 0 && failure.code() == ResultCode.ENDPOINT_REJECTED)
                    .ifPresent(s -> slots.vacate(s, scheduler.nanoTime()));
            if (closed != null || !t.requeue()) {
                return false;
            }
            long now = scheduler.nanoTime();
            waiting.addFirst(t, now, planner.promise(t.request(), now));
        } finally {
            lock.unlock();
        }
        events.record(EventCode.REQUEST_RETRIED, t.request().id(), failure.getMessage());
        return true;
    }

    // Queue

    private Refusal admission(PendingRequest ticket) {
        if (!permit.valid()) {
            return Refusal.retryable(ResultCode.LEASE_LAPSED, "no valid lease on " + engine.name(), 1000);
        }
        if (waiting.size() >= config.maxQueued()) {
            return Refusal.retryable(ResultCode.OVERLOADED, "the queue is full", 1000);
        }
        return waiting.ofCaller(ticket.request().caller()) >= config.maxQueuedPerCaller()
                ? Refusal.retryable(ResultCode.OVERLOADED, "the caller's share of the queue is full", 1000)
                : planner.admission(ticket.request(), scheduler.nanoTime());
    }

    // Decisions

    private void tick() {
        List<RunningAttempt> silent = new ArrayList<>();
        List<PendingRequest> unowned = new ArrayList<>();
        Map<PendingRequest, Refusal> late = new LinkedHashMap<>();
        lock.lock();
        try {
            long now = scheduler.nanoTime();
            long limit = config.progressTimeout().toNanos();
            running.values().stream()
                    .filter(a -> now - a.progressNanos() > limit)
                    .forEach(silent::add);
            removeLate(now, late);
            if (!permit.valid()) {
                unowned.addAll(waiting.removeIf(w -> true));
            }
        } finally {
            lock.unlock();
        }
        silent.forEach(a -> a.abandon(ResultCode.PROGRESS_TIMEOUT, "no progress within the timeout"));
        late.forEach(this::refuse);
        unowned.forEach(t -> refuse(t, Refusal.retryable(ResultCode.LEASE_LAPSED, "the lease lapsed", 1000)));
        dispatchPending();
    }

    private void removeLate(long now, Map<PendingRequest, Refusal> late) {
        Map<AdapterVersion, Long> waits = planner.waits(now);
        waiting.removeIf(w -> {
            Refusal reason = w.request().deadlineNanos() - now <= 0
                    ? Refusal.retryable(ResultCode.DEADLINE_UNREACHABLE, "the deadline passed", 1000)
                    : planner.hopeless(w.request(), now, waits.getOrDefault(w.version(), 0L));
            if (reason != null) {
                late.put(w.ticket(), reason);
            }
            return reason != null;
        });
    }

    /** Dispatches and loads what can be now. */
    public void dispatchPending() {
        List<Runnable> effects = new ArrayList<>();
        lock.lock();
        try {
            if (slots.known() && permit.valid()) {
                dispatchResident(effects);
                startLoads(effects);
            }
        } finally {
            lock.unlock();
        }
        effects.forEach(Runnable::run);
    }

    private void dispatchResident(List<Runnable> effects) {
        List<WaitGroup> ready = ready();
        if (!gate.open(ready, running.size(), scheduler.nanoTime())) {
            return;
        }
        while (running.size() < engine.batchSize() && !ready.isEmpty()) {
            WaitGroup g = config.policy().fair()
                    ? Collections.min(ready, Comparator.comparing(WaitGroup::head, WaitGroup.ORDER))
                    : ready.get(0);
            Waiting w = waiting.poll(g.version());
            if (w.ticket().dispatch()) {
                effects.add(begin(w, slots.find(g.version()).orElseThrow()));
            }
            if (g.isEmpty()) {
                ready.remove(g);
            }
        }
    }

    /** The waiting groups whose adapter is resident, in the order in which they came to be. */
    private List<WaitGroup> ready() {
        List<WaitGroup> ready = new ArrayList<>();
        for (Slot s : slots.all()) {
            if (s.state() == Slot.State.RESIDENT) {
                waiting.find(s.version()).ifPresent(ready::add);
            }
        }
        ready.sort(Comparator.comparingLong(WaitGroup::number));
        return ready;
    }

    private Runnable begin(Waiting w, Slot slot) {
        long now = scheduler.nanoTime();
        InferenceRequest r = w.ticket().request();
        attempts++;
        RunningAttempt a = new RunningAttempt(r.id() + "." + attempts, w.ticket(), slot, this, now);
        accountBatch(running.size());
        running.put(a.id(), a);
        slot.use(now);
        stats.dispatched(now - r.arrivalNanos(), Math.max(0, slot.changedNanos() - w.sinceNanos()));
        return () -> send(a, r);
    }

    private void send(RunningAttempt a, InferenceRequest r) {
        if (!permit.valid()) {
            a.failed(new EndpointException(ResultCode.LEASE_LAPSED, "the lease lapsed before dispatch", true));
            return;
        }
        events.record(EventCode.REQUEST_DISPATCHED, r.id(), a.id() + " to " + engine.name() + " " + r.version());
        AttemptRequest request = new AttemptRequest(a.id(), r.version(), r.prompt(), r.maxTokens(), r.priority(), 0);
        a.cancellation(port.run(engine, request, a));
        if (!permit.valid()) {
            a.abandon(ResultCode.OUTCOME_UNKNOWN, "the lease lapsed during dispatch");
        }
    }

    private void startLoads(List<Runnable> effects) {
        long now = scheduler.nanoTime();
        for (Optional<LoadPlanner.Next> n = planner.next(now); n.isPresent(); n = planner.next(now)) {
            Optional<Slot> victim = slots.hasFree() ? Optional.empty() : planner.victim(now);
            boolean room = slots.hasFree() || victim.isPresent();
            if (!room || !budget.tryAcquire(n.get().value())) {
                return;
            }
            planner.started(now);
            Slot s = slots.startLoad(n.get().version(), now);
            victim.ifPresent(v -> v.state(Slot.State.UNLOADING, now));
            effects.add(() -> orders.load(s, victim));
        }
    }

    // Helpers

    private void accountBatch(int wereRunning) {
        long now = scheduler.nanoTime();
        if (wereRunning > 0) {
            stats.batchOccupancy(wereRunning, engine.batchSize(), now - batchSinceNanos);
        }
        batchSinceNanos = now;
    }

    private void completeIfDrained() {
        if (closed != null && running.isEmpty() && !drained.isDone()) {
            timers.forEach(Scheduler.Timer::cancel);
            scheduler.schedule(Duration.ZERO, () -> drained.complete(null));
        }
    }

    private void refuse(PendingRequest t, Refusal refusal) {
        if (t.refuse(refusal)) {
            stats.refused(refusal.code());
            events.record(
                    EventCode.REQUEST_REFUSED, t.request().id(), refusal.code().number() + " " + refusal.message());
        }
    }
}
