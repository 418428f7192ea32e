package org.quetzalvane.core.load;

import java.util.Optional;
import java.util.concurrent.locks.Lock;

import org.quetzalvane.core.ResultCode;
import org.quetzalvane.core.event.EventCode;
import org.quetzalvane.core.event.EventLog;
import org.quetzalvane.core.exc.EndpointException;
import org.quetzalvane.core.exc.QuetzalvaneException;
import org.quetzalvane.core.model.AdapterVersion;
import org.quetzalvane.core.model.Engine;
import org.quetzalvane.core.port.EnginePort;
import org.quetzalvane.core.port.EngineReport;
import org.quetzalvane.core.time.Scheduler;

/**
 * Sends load and unload orders to one engine and applies their responses and the engine's reports.
 *
 * <p>Invariants: no order is sent unless this node owns the engine; an order whose response was lost leaves its adapter
 * slot in doubt. Thread-safe: the tables are changed under the dispatcher's lock, which is not held while the port is
 * called.
 */
final class SlotOrders {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final Engine engine;
    private final long fencingToken;
    private final OwnershipCheck ownershipCheck;
    private final EnginePort port;
    private final DispatchContext.WeightsLookup weights;
    private final Scheduler scheduler;
    private final EventLog events;
    private final DispatchListener listener;
    private final Tables tables;
    private final Runnable dispatchPending;

    /**
     * State shared with the dispatcher. Immutable; the slots and the planner are guarded by the lock.
     *
     * @param lock the dispatcher's lock
     * @param slots the engine's adapter slots
     * @param planner planner of the engine's loads
     */
    record Tables(Lock lock, SlotTable slots, LoadPlanner planner) {}

    SlotOrders(OwnedEngine ownedEngine, DispatchContext context, Tables tables, Runnable dispatchPending) {
        this.engine = ownedEngine.engine();
        this.fencingToken = ownedEngine.fencingToken();
        this.ownershipCheck = ownedEngine.ownershipCheck();
        this.port = context.port();
        this.weights = context.weights();
        this.scheduler = context.scheduler();
        this.events = context.events();
        this.listener = context.listener();
        this.tables = tables;
        this.dispatchPending = dispatchPending;
    }

    /** Loads an adapter into the slot reserved for it, after the victim, if any, was unloaded. */
    void load(Slot slot, Optional<Slot> victim) {
        long startedAtNanos = scheduler.nanoTime();
        if (victim.isPresent()) {
            unload(victim.get(), () -> loadUnlessDelayed(slot, startedAtNanos));
        } else {
            load(slot, startedAtNanos);
        }
    }

    /**
     * Requests the engine's report of its resident adapters and running requests and applies it when it arrives. A
     * failure is ignored; the next periodic request follows.
     */
    void requestReport() {
        long requestedAtNanos = scheduler.nanoTime();
        port.report(engine).whenComplete((report, failure) -> {
            if (failure == null) {
                applyReport(report, requestedAtNanos - report.ageMillis() * NANOS_PER_MILLI);
            }
        });
    }

    // Loads

    /** Loads unless the eviction took longer than {@link LoadGovernor#MAX_START_DELAY}; then the slot is freed. */
    private void loadUnlessDelayed(Slot slot, long startedAtNanos) {
        if (scheduler.nanoTime() - startedAtNanos <= LoadGovernor.MAX_START_DELAY.toNanos()) {
            load(slot, startedAtNanos);
            return;
        }
        tables.lock.lock();
        try {
            tables.slots.freeSlot(slot, scheduler.nanoTime());
        } finally {
            tables.lock.unlock();
        }
        dispatchPending.run();
    }

    private void load(Slot slot, long startedAtNanos) {
        AdapterVersion version = slot.version();
        Optional<String> weightsRef = weights.find(version);
        if (weightsRef.isEmpty() || !ownershipCheck.isOwner()) {
            loadEnded(
                    slot,
                    startedAtNanos,
                    new EndpointException(
                            ResultCode.LOAD_REFUSED,
                            "expected published weights of the adapter version and ownership of the engine",
                            true));
            return;
        }
        events.record(EventCode.LOAD_STARTED, version.toString(), engine.name() + " fencing " + fencingToken);
        port.load(engine, version, weightsRef.get(), fencingToken)
                .whenComplete((ok, failure) -> loadEnded(slot, startedAtNanos, failure));
    }

    private void loadEnded(Slot slot, long startedAtNanos, Throwable failure) {
        long now = scheduler.nanoTime();
        AdapterVersion version = slot.version();
        tables.lock.lock();
        try {
            if (failure == null) {
                tables.slots.markResident(slot, now);
                tables.planner.loadSucceeded(version, now - startedAtNanos, now);
            } else if (provesNotRun(failure)) {
                tables.slots.freeSlot(slot, scheduler.nanoTime());
                tables.planner.loadFailed(version, now);
            } else {
                tables.slots.markInDoubt(slot, now);
            }
        } finally {
            tables.lock.unlock();
        }
        listener.loadEnded(failure == null, now - startedAtNanos);
        orderEnded(failure == null ? EventCode.LOAD_FINISHED : EventCode.LOAD_FAILED, version, failure);
    }

    private void unload(Slot slot, Runnable whenEnded) {
        if (!ownershipCheck.isOwner()) {
            unloadEnded(
                    slot,
                    new EndpointException(
                            ResultCode.LEASE_LAPSED, "the lease expired before the unload order was sent", true));
            whenEnded.run();
            return;
        }
        port.unload(engine, slot.version(), fencingToken).whenComplete((ok, failure) -> {
            unloadEnded(slot, failure);
            whenEnded.run();
        });
    }

    private void unloadEnded(Slot slot, Throwable failure) {
        tables.lock.lock();
        try {
            if (failure == null) {
                tables.slots.freeSlot(slot, scheduler.nanoTime());
            } else if (provesNotRun(failure)) {
                slot.state(Slot.State.RESIDENT, scheduler.nanoTime());
            } else {
                tables.slots.markInDoubt(slot, scheduler.nanoTime());
            }
        } finally {
            tables.lock.unlock();
        }
        orderEnded(EventCode.EVICTED, slot.version(), failure);
    }

    private void orderEnded(EventCode successEvent, AdapterVersion version, Throwable failure) {
        if (failure == null) {
            events.record(successEvent, version.toString(), engine.name());
        } else {
            ResultCode code = QuetzalvaneException.codeOf(failure);
            EventCode event = code == ResultCode.FENCED
                    ? EventCode.ORDER_FENCED
                    : provesNotRun(failure) ? EventCode.LOAD_FAILED : EventCode.ORDER_IN_DOUBT;
            events.record(event, version.toString(), engine.name() + " " + code.number() + " " + failure.getMessage());
            requestReport();
        }
        dispatchPending.run();
    }

    private void applyReport(EngineReport report, long takenAtNanos) {
        boolean restarted;
        tables.lock.lock();
        try {
            restarted = tables.slots.reconcile(report, takenAtNanos, scheduler.nanoTime());
        } finally {
            tables.lock.unlock();
        }
        if (restarted) {
            events.record(EventCode.ENGINE_RESTARTED, engine.name(), report.instance());
        }
        dispatchPending.run();
    }

    private static boolean provesNotRun(Throwable failure) {
        Throwable cause = failure instanceof EndpointException ? failure : failure.getCause();
        return cause instanceof EndpointException && ((EndpointException) cause).provesNotRun();
    }
}
