package org.quetzalvane.core.load;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;

import org.quetzalvane.core.model.AdapterVersion;
import org.quetzalvane.core.port.EngineReport;

/**
 * Known state of the adapter slots of one engine.
 *
 * <p>Invariants: nothing is assumed resident before the engine's first report; an order whose response was lost keeps
 * its adapter slot occupied until a report taken later shows the outcome; an adapter that first appeared in a report is
 * not evicted until a report taken after the acquisition of the engine by this owner shows it idle, or until the
 * maximum running time of a request has passed since the acquisition.
 *
 * <p>Not thread-safe; guarded by the lock of its {@link EngineDispatcher}.
 */
final class SlotTable {
    private static final int MAX_FREED_ENTRIES = 256;
    private static final long MAX_REPORT_LAG_NANOS = 60_000_000_000L;

    private final int capacity;
    private final long acquiredAtNanos;
    private final long maxRequestNanos;
    private final LoadBudget budget;
    private final Map<AdapterVersion, Slot> slots = new HashMap<>();
    private final Map<AdapterVersion, Long> freedAtNanos = new HashMap<>();
    private String instance;

    SlotTable(int capacity, long acquiredAtNanos, long maxRequestNanos, LoadBudget budget) {
        this.capacity = capacity;
        this.acquiredAtNanos = acquiredAtNanos;
        this.maxRequestNanos = maxRequestNanos;
        this.budget = budget;
    }

    /** Returns whether a report of the engine was applied. */
    boolean hasReport() {
        return instance != null;
    }

    Optional<Slot> find(AdapterVersion v) {
        return Optional.ofNullable(slots.get(v));
    }

    boolean isResident(AdapterVersion v) {
        return find(v).filter(s -> s.state() == Slot.State.RESIDENT).isPresent();
    }

    boolean hasFreeSlot() {
        return slots.size() < capacity;
    }

    Collection<Slot> all() {
        return slots.values();
    }

    /**
     * Returns the resident slots that have no running requests, of this owner or an earlier one, and for whose adapter
     * no request waits.
     */
    List<Slot> evictable(Predicate<AdapterVersion> hasWaitingRequests) {
        return slots.values().stream()
                .filter(s -> s.state() == Slot.State.RESIDENT && s.activeRequests() == 0 && !s.inherited())
                .filter(s -> !hasWaitingRequests.test(s.version()))
                .collect(Collectors.toList());
    }

    /** Reserves a slot for a load that the budget permitted. */
    Slot startLoad(AdapterVersion v, long now) {
        Slot slot = new Slot(v, Slot.State.LOADING, now);
        slot.countsAgainstBudget(true);
        slots.put(v, slot);
        return slot;
    }

    /** Marks an adapter as resident after the engine confirmed it. */
    void markResident(Slot slot, long now) {
        slot.state(Slot.State.RESIDENT, now);
        releaseBudget(slot);
    }

    /** Frees a slot that is empty now; a report taken earlier does not restore it. */
    void freeSlot(Slot slot, long now) {
        if (freedAtNanos.size() >= MAX_FREED_ENTRIES) {
            freedAtNanos.values().removeIf(freedAt -> now - freedAt > MAX_REPORT_LAG_NANOS);
        }
        freedAtNanos.put(slot.version(), now);
        freeSlot(slot);
    }

    /** Frees a slot that is empty. */
    void freeSlot(Slot slot) {
        releaseBudget(slot);
        slots.remove(slot.version(), slot);
    }

    /** Marks a slot as in doubt after the response to an order was lost. */
    void markInDoubt(Slot slot, long now) {
        slot.state(Slot.State.IN_DOUBT, now);
    }

    /**
     * Applies a report of the engine.
     *
     * @return true if the engine is a new instance, so that all slots were cleared first
     */
    boolean reconcile(EngineReport report, long takenAtNanos, long now) {
        boolean restarted = instance != null && !instance.equals(report.instance());
        if (restarted) {
            new ArrayList<>(slots.values()).forEach(this::freeSlot);
        }
        instance = report.instance();
        for (EngineReport.Residency r : report.adapters()) {
            applyResidency(r, takenAtNanos, now);
        }
        Set<AdapterVersion> listed =
                report.adapters().stream().map(EngineReport.Residency::version).collect(Collectors.toSet());
        for (Slot s : new ArrayList<>(slots.values())) {
            boolean hasNoOpenOrder = s.state() == Slot.State.IN_DOUBT || s.state() == Slot.State.RESIDENT;
            if (!listed.contains(s.version()) && hasNoOpenOrder && s.changedAtNanos() - takenAtNanos < 0) {
                freeSlot(s);
            }
        }
        return restarted;
    }

    private void applyResidency(EngineReport.Residency residency, long takenAtNanos, long now) {
        Slot slot = slots.get(residency.version());
        if (slot == null && freedAtNanos.getOrDefault(residency.version(), takenAtNanos - 1) - takenAtNanos >= 0) {
            return;
        }
        if (slot == null) {
            slot = new Slot(residency.version(), residency.loading() ? Slot.State.IN_DOUBT : Slot.State.RESIDENT, now);
            slot.inherited(true);
            slots.put(residency.version(), slot);
        } else if (slot.state() == Slot.State.IN_DOUBT
                && !residency.loading()
                && slot.changedAtNanos() - takenAtNanos < 0) {
            markResident(slot, now);
        }
        boolean idle = residency.running() == 0 && !residency.loading() && acquiredAtNanos - takenAtNanos <= 0;
        if (slot.inherited() && (idle || now - acquiredAtNanos > maxRequestNanos)) {
            slot.inherited(false);
        }
    }

    private void releaseBudget(Slot slot) {
        if (slot.countsAgainstBudget()) {
            slot.countsAgainstBudget(false);
            budget.release();
        }
    }
}
