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
 * The adapter slots of one engine as its owner knows them.
 *
 * <p>Invariants: nothing is assumed resident before the engine's own list was read; an order whose answer was lost
 * keeps its slot taken until a report taken later settles it; what was found resident counts as in use until a report
 * taken after this owner gained the engine shows it idle.
 *
 * <p>Not thread-safe; guarded by the lock of its {@link EngineDispatcher}.
 */
final class SlotTable {
    private static final int MAX_VACATED = 256;
    private static final long LONGEST_LAG_NANOS = 60_000_000_000L;

    private final int capacity;
    private final long gainedNanos;
    private final long maxRequestNanos;
    private final LoadBudget budget;
    private final Map<AdapterVersion, Slot> slots = new HashMap<>();
    private final Map<AdapterVersion, Long> vacatedNanos = new HashMap<>();
    private String instance;

    SlotTable(int capacity, long gainedNanos, long maxRequestNanos, LoadBudget budget) {
        this.capacity = capacity;
        this.gainedNanos = gainedNanos;
        this.maxRequestNanos = maxRequestNanos;
        this.budget = budget;
    }

    /** Whether the engine's own list was read at least once. */
    boolean known() {
        return instance != null;
    }

    Optional<Slot> find(AdapterVersion v) {
        return Optional.ofNullable(slots.get(v));
    }

    boolean resident(AdapterVersion v) {
        return find(v).filter(s -> s.state() == Slot.State.RESIDENT).isPresent();
    }

    boolean hasFree() {
        return slots.size() < capacity;
    }

    Collection<Slot> all() {
        return slots.values();
    }

    /** Slots that may be evicted: resident, idle and not waited for. */
    List<Slot> evictable(Predicate<AdapterVersion> waitedFor) {
        return slots.values().stream()
                .filter(s -> s.state() == Slot.State.RESIDENT && s.users() == 0 && !s.inherited())
                .filter(s -> !waitedFor.test(s.version()))
                .collect(Collectors.toList());
    }

    /** Takes a slot for a load for which the budget gave permission. */
    Slot startLoad(AdapterVersion v, long now) {
        Slot s = new Slot(v, Slot.State.LOADING, now);
        s.holdsPermit(true);
        slots.put(v, s);
        return s;
    }

    /** The engine confirmed that an adapter is resident. */
    void loaded(Slot s, long now) {
        s.state(Slot.State.RESIDENT, now);
        releasePermit(s);
    }

    /** The slot is certainly empty as of now; a report taken earlier does not bring it back. */
    void vacate(Slot s, long now) {
        if (vacatedNanos.size() >= MAX_VACATED) {
            vacatedNanos.values().removeIf(at -> now - at > LONGEST_LAG_NANOS);
        }
        vacatedNanos.put(s.version(), now);
        vacate(s);
    }

    /** The slot is certainly empty. */
    void vacate(Slot s) {
        releasePermit(s);
        slots.remove(s.version(), s);
    }

    /** The answer to an order was lost. */
    void inDoubt(Slot s, long now) {
        s.state(Slot.State.IN_DOUBT, now);
    }

    /**
     * Takes in the engine's own report.
     *
     * @return true when the engine is a new instance, so that everything known before is void
     */
    boolean reconcile(EngineReport report, long takenNanos, long now) {
        boolean restarted = instance != null && !instance.equals(report.instance());
        if (restarted) {
            new ArrayList<>(slots.values()).forEach(this::vacate);
        }
        instance = report.instance();
        for (EngineReport.Residency r : report.adapters()) {
            settlePresent(r, takenNanos, now);
        }
        Set<AdapterVersion> listed =
                report.adapters().stream().map(EngineReport.Residency::version).collect(Collectors.toSet());
        for (Slot s : new ArrayList<>(slots.values())) {
            boolean settled = s.state() == Slot.State.IN_DOUBT || s.state() == Slot.State.RESIDENT;
            if (!listed.contains(s.version()) && settled && s.changedNanos() - takenNanos < 0) {
                vacate(s);
            }
        }
        return restarted;
    }

    private void settlePresent(EngineReport.Residency r, long taken, long now) {
        Slot s = slots.get(r.version());
        if (s == null && vacatedNanos.getOrDefault(r.version(), taken - 1) - taken >= 0) {
            return;
        }
        if (s == null) {
            s = new Slot(r.version(), r.loading() ? Slot.State.IN_DOUBT : Slot.State.RESIDENT, now);
            s.inherited(true);
            slots.put(r.version(), s);
        } else if (s.state() == Slot.State.IN_DOUBT && !r.loading() && s.changedNanos() - taken < 0) {
            loaded(s, now);
        }
        boolean idle = r.running() == 0 && !r.loading() && gainedNanos - taken <= 0;
        if (s.inherited() && (idle || now - gainedNanos > maxRequestNanos)) {
            s.inherited(false);
        }
    }

    private void releasePermit(Slot s) {
        if (s.holdsPermit()) {
            s.holdsPermit(false);
            budget.release();
        }
    }
}
