package org.quetzalvane.core.ownership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * State of the fold of an ownership stream whose every record up to now is known.
 *
 * <p>Invariants: as {@link OwnershipTable}; the state depends on records and offsets only, but for the instants of
 * reading. Not thread-safe; guarded by its {@link OwnershipTable}.
 */
final class ClaimState {
    private final Map<String, OwnershipTable.EngineOwner> holdings = new HashMap<>();
    private final Map<LeaseKey, OwnershipTable.Lease> leases = new HashMap<>();
    private final Map<String, Long> incarnations = new HashMap<>();

    private record LeaseKey(String node, long incarnation) {}

    /** The state that a snapshot states, read at the given monotonic instant. */
    static ClaimState of(OwnershipRecord.Snapshot snapshot, long readAtNanos) {
        ClaimState state = new ClaimState();
        for (OwnershipRecord.HeldLease h : snapshot.leases()) {
            OwnershipRecord.Renewal r = h.renewal();
            String node = r.node().node();
            long incarnation = r.node().incarnation();
            state.leases.put(new LeaseKey(node, incarnation), lease(h.offset(), r, readAtNanos));
            state.incarnations.merge(node, incarnation, Math::max);
            h.engines()
                    .forEach((engine, fencingToken) -> state.holdings.put(
                            engine, new OwnershipTable.EngineOwner(node, incarnation, fencingToken)));
        }
        return state;
    }

    OwnershipTable.EngineOwner holder(String engine) {
        return holdings.get(engine);
    }

    Map<String, OwnershipTable.EngineOwner> holdings() {
        return holdings;
    }

    OwnershipTable.Lease lease(String node, long incarnation) {
        return leases.get(new LeaseKey(node, incarnation));
    }

    long supersedes(String engine) {
        OwnershipTable.EngineOwner h = holdings.get(engine);
        if (h == null) {
            return OwnershipTable.UNOWNED;
        }
        OwnershipTable.Lease l = lease(h.node(), h.incarnation());
        return l == null ? h.fencingToken() : Math.max(l.offset(), h.fencingToken());
    }

    /** Takes in a renewal; false when the node has a newer incarnation. */
    boolean renew(long offset, OwnershipRecord.Renewal r, long readAtNanos) {
        String node = r.node().node();
        long newest = incarnations.merge(node, r.node().incarnation(), Math::max);
        if (newest > r.node().incarnation()) {
            return false;
        }
        leases.put(new LeaseKey(node, newest), lease(offset, r, readAtNanos));
        return true;
    }

    void claim(long offset, OwnershipRecord.Claim c, List<OwnershipTable.Change> changes) {
        for (OwnershipRecord.EngineClaim e : c.engines()) {
            boolean current = incarnations.getOrDefault(c.node(), -1L) == c.incarnation();
            boolean won = current && e.supersedes() == supersedes(e.engine());
            if (won) {
                holdings.put(e.engine(), new OwnershipTable.EngineOwner(c.node(), c.incarnation(), offset));
            }
            changes.add(new OwnershipTable.Change(e.engine(), c.node(), won, offset));
        }
    }

    void release(OwnershipRecord.Release r, List<OwnershipTable.Change> changes) {
        for (String engine : r.engines()) {
            OwnershipTable.EngineOwner h = holdings.get(engine);
            if (h != null && h.node().equals(r.node()) && h.incarnation() == r.incarnation()) {
                holdings.remove(engine);
                changes.add(new OwnershipTable.Change(engine, r.node(), false, h.fencingToken()));
            }
        }
    }

    /** Forgets leases that are older than the given offset or incarnation and hold nothing. */
    void prune(long beforeOffset) {
        Map<LeaseKey, Map<String, Long>> held = held();
        leases.entrySet().removeIf(e -> {
            boolean superseded = incarnations.getOrDefault(e.getKey().node, -1L) > e.getKey().incarnation;
            return !held.containsKey(e.getKey()) && (superseded || e.getValue().offset() < beforeOffset);
        });
        incarnations.entrySet().removeIf(e -> lease(e.getKey(), e.getValue()) == null);
    }

    /** States everything, for nodes that have not read the beginning. */
    OwnershipRecord.Snapshot snapshot(long upTo, long newestWhole) {
        Map<LeaseKey, Map<String, Long>> held = held();
        List<OwnershipRecord.HeldLease> all = new ArrayList<>();
        leases.forEach((key, l) -> {
            OwnershipRecord.Renewal r =
                    new OwnershipRecord.Renewal(l.node(), l.sequence(), l.leaseMillis(), l.leaving(), l.whole());
            all.add(new OwnershipRecord.HeldLease(l.offset(), r, held.getOrDefault(key, Map.of())));
        });
        all.sort((a, b) -> Long.compare(a.offset(), b.offset()));
        return new OwnershipRecord.Snapshot(upTo, newestWhole, all);
    }

    private Map<LeaseKey, Map<String, Long>> held() {
        Map<LeaseKey, Map<String, Long>> held = new HashMap<>();
        holdings.forEach(
                (engine, h) -> held.computeIfAbsent(new LeaseKey(h.node(), h.incarnation()), k -> new TreeMap<>())
                        .put(engine, h.fencingToken()));
        return held;
    }

    private static OwnershipTable.Lease lease(long offset, OwnershipRecord.Renewal r, long readAtNanos) {
        return new OwnershipTable.Lease(
                r.node(), r.sequence(), offset, r.leaseMillis(), r.leaving(), r.whole(), readAtNanos);
    }
}
