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
 * Sends the orders to load and unload to one engine and takes in their answers and the engine's reports.
 *
 * <p>Invariants: no order leaves without a valid permit; an order whose answer was lost leaves its slot in doubt.
 * Thread-safe: the tables are changed under the dispatcher's lock, which is not held while the port is called.
 */
final class SlotOrders {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final Engine engine;
    private final long fencingToken;
    private final OwnershipCheck permit;
    private final EnginePort port;
    private final DispatchContext.WeightsLookup weights;
    private final Scheduler scheduler;
    private final EventLog events;
    private final DispatchListener stats;
    private final Tables tables;
    private final Runnable pump;

    /**
     * What is shared with the dispatcher. Immutable; its parts but the lock are guarded by it.
     *
     * @param lock the dispatcher's lock
     * @param slots the engine's slots
     * @param planner the plan of its loads
     */
    record Tables(Lock lock, SlotTable slots, LoadPlanner planner) {}

    SlotOrders(OwnedEngine lease, DispatchContext context, Tables tables, Runnable pump) {
        this.engine = lease.engine();
        this.fencingToken = lease.fencingToken();
        this.permit = lease.permit();
        this.port = context.port();
        this.weights = context.weights();
        this.scheduler = context.scheduler();
        this.events = context.events();
        this.stats = context.stats();
        this.tables = tables;
        this.pump = pump;
    }

    /** Loads into a slot that was taken for it, after the victim, if any, has gone. */
    void load(Slot slot, Optional<Slot> victim) {
        long start = scheduler.nanoTime();
        if (victim.isPresent()) {
            unload(victim.get(), () -> loadIfSoonEnough(slot, start));
        } else {
            load(slot, start);
        }
    }

    /** Asks the engine what is resident and running. */
    void askReport() {
        long asked = scheduler.nanoTime();
        port.report(engine).whenComplete((report, failure) -> {
            if (failure == null) {
                reported(report, asked - report.ageMillis() * NANOS_PER_MILLI);
            }
        });
    }

    // Loads

    /** Loads unless the eviction took so long that the permission for the load is no longer good. */
    private void loadIfSoonEnough(Slot s, long startNanos) {
        if (scheduler.nanoTime() - startNanos <= LoadGovernor.START_DELAY.toNanos()) {
            load(s, startNanos);
            return;
        }
        tables.lock.lock();
        try {
            tables.slots.vacate(s, scheduler.nanoTime());
        } finally {
            tables.lock.unlock();
        }
        pump.run();
    }

    private void load(Slot s, long startNanos) {
        AdapterVersion v = s.version();
        Optional<String> ref = weights.find(v);
        if (ref.isEmpty() || !permit.valid()) {
            loadEnded(s, startNanos, new EndpointException(ResultCode.LOAD_REFUSED, "not published", true));
            return;
        }
        events.record(EventCode.LOAD_STARTED, v.toString(), engine.name() + " fencing " + fencingToken);
        port.load(engine, v, ref.get(), fencingToken).whenComplete((ok, failure) -> loadEnded(s, startNanos, failure));
    }

    private void loadEnded(Slot s, long startNanos, Throwable failure) {
        long now = scheduler.nanoTime();
        AdapterVersion v = s.version();
        tables.lock.lock();
        try {
            if (failure == null) {
                tables.slots.loaded(s, now);
                tables.planner.loaded(v, now - startNanos, now);
            } else if (provedNotRun(failure)) {
                tables.slots.vacate(s, scheduler.nanoTime());
                tables.planner.failed(v, now);
            } else {
                tables.slots.inDoubt(s, now);
            }
        } finally {
            tables.lock.unlock();
        }
        stats.loadFinished(failure == null, now - startNanos);
        orderEnded(failure == null ? EventCode.LOAD_FINISHED : EventCode.LOAD_FAILED, v, failure);
    }

    private void unload(Slot s, Runnable whenFree) {
        if (!permit.valid()) {
            unloadEnded(s, new EndpointException(ResultCode.LEASE_LAPSED, "the lease lapsed", true));
            whenFree.run();
            return;
        }
        port.unload(engine, s.version(), fencingToken).whenComplete((ok, failure) -> {
            unloadEnded(s, failure);
            whenFree.run();
        });
    }

    private void unloadEnded(Slot s, Throwable failure) {
        tables.lock.lock();
        try {
            if (failure == null) {
                tables.slots.vacate(s, scheduler.nanoTime());
            } else if (provedNotRun(failure)) {
                s.state(Slot.State.RESIDENT, scheduler.nanoTime());
            } else {
                tables.slots.inDoubt(s, scheduler.nanoTime());
            }
        } finally {
            tables.lock.unlock();
        }
        orderEnded(EventCode.EVICTED, s.version(), failure);
    }

    private void orderEnded(EventCode code, AdapterVersion v, Throwable failure) {
        if (failure == null) {
            events.record(code, v.toString(), engine.name());
        } else {
            ResultCode why = QuetzalvaneException.codeOf(failure);
            EventCode what = why == ResultCode.FENCED
                    ? EventCode.ORDER_FENCED
                    : provedNotRun(failure) ? EventCode.LOAD_FAILED : EventCode.ORDER_IN_DOUBT;
            events.record(what, v.toString(), engine.name() + " " + why.number() + " " + failure.getMessage());
            askReport();
        }
        pump.run();
    }

    private void reported(EngineReport report, long takenNanos) {
        boolean restarted;
        tables.lock.lock();
        try {
            restarted = tables.slots.reconcile(report, takenNanos, scheduler.nanoTime());
        } finally {
            tables.lock.unlock();
        }
        if (restarted) {
            events.record(EventCode.ENGINE_RESTARTED, engine.name(), report.instance());
        }
        pump.run();
    }

    private static boolean provedNotRun(Throwable failure) {
        Throwable cause = failure instanceof EndpointException ? failure : failure.getCause();
        return cause instanceof EndpointException && ((EndpointException) cause).provesNotRun();
    }
}
