package org.quetzalvane.core.ownership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * State of the fold of an ownership stream whose every record up to now is known.
 *
 * <p>Invariants: as {@link ClaimTable}; the state depends on records and offsets only, but for the instants of
 * reading. Not thread-safe; guarded by its {@link ClaimTable}.
 */
final class ClaimState {
    private final Map<String, ClaimTable.Holding> holdings = new HashMap<>();
    private final Map<LeaseKey, ClaimTable.Lease> leases = new HashMap<>();
    private final Map<String, Long> incarnations = new HashMap<>();

    private record LeaseKey(String node, long incarnation) {}

    /** The state that a snapshot states, read at the given monotonic instant. */
    static ClaimState of(ClaimRecord.Snapshot snapshot, long readAtNanos) {
        ClaimState state = new ClaimState();
        for (ClaimRecord.HeldLease h : snapshot.leases()) {
            ClaimRecord.Renewal r = h.renewal();
            String node = r.node().node();
            long incarnation = r.node().incarnation();
            state.leases.put(new LeaseKey(node, incarnation), lease(h.offset(), r, readAtNanos));
            state.incarnations.merge(node, incarnation, Math::max);
            h.engines()
                    .forEach((engine, fencingToken) ->
                            state.holdings.put(engine, new ClaimTable.Holding(node, incarnation, fencingToken)));
        }
        return state;
    }

    ClaimTable.Holding holder(String engine) {
        return holdings.get(engine);
    }

    Map<String, ClaimTable.Holding> holdings() {
        return holdings;
    }

    ClaimTable.Lease lease(String node, long incarnation) {
        return leases.get(new LeaseKey(node, incarnation));
    }

    long supersedes(String engine) {
        ClaimTable.Holding h = holdings.get(engine);
        if (h == null) {
            return ClaimTable.UNHELD;
        }
        ClaimTable.Lease l = lease(h.node(), h.incarnation());
        return l == null ? h.fencingToken() : Math.max(l.offset(), h.fencingToken());
    }

    /** Takes in a renewal; false when the node has a newer incarnation. */
    boolean renew(long offset, ClaimRecord.Renewal r, long readAtNanos) {
        String node = r.node().node();
        long newest = incarnations.merge(node, r.node().incarnation(), Math::max);
        if (newest > r.node().incarnation()) {
            return false;
        }
        leases.put(new LeaseKey(node, newest), lease(offset, r, readAtNanos));
        return true;
    }

    void claim(long offset, ClaimRecord.Claim c, List<ClaimTable.Change> changes) {
        for (ClaimRecord.EngineClaim e : c.engines()) {
            boolean current = incarnations.getOrDefault(c.node(), -1L) == c.incarnation();
            boolean won = current && e.supersedes() == supersedes(e.engine());
            if (won) {
                holdings.put(e.engine(), new ClaimTable.Holding(c.node(), c.incarnation(), offset));
            }
            changes.add(new ClaimTable.Change(e.engine(), c.node(), won, offset));
        }
    }

    void release(ClaimRecord.Release r, List<ClaimTable.Change> changes) {
        for (String engine : r.engines()) {
            ClaimTable.Holding h = holdings.get(engine);
            if (h != null && h.node().equals(r.node()) && h.incarnation() == r.incarnation()) {
                holdings.remove(engine);
                changes.add(new ClaimTable.Change(engine, r.node(), false, h.fencingToken()));
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
    ClaimRecord.Snapshot snapshot(long upTo, long newestWhole) {
        Map<LeaseKey, Map<String, Long>> held = held();
        List<ClaimRecord.HeldLease> all = new ArrayList<>();
        leases.forEach((key, l) -> {
            ClaimRecord.Renewal r =
                    new ClaimRecord.Renewal(l.node(), l.sequence(), l.leaseMillis(), l.leaving(), l.whole());
            all.add(new ClaimRecord.HeldLease(l.offset(), r, held.getOrDefault(key, Map.of())));
        });
        all.sort((a, b) -> Long.compare(a.offset(), b.offset()));
        return new ClaimRecord.Snapshot(upTo, newestWhole, all);
    }

    private Map<LeaseKey, Map<String, Long>> held() {
        Map<LeaseKey, Map<String, Long>> held = new HashMap<>();
        holdings.forEach(
                (engine, h) -> held.computeIfAbsent(new LeaseKey(h.node(), h.incarnation()), k -> new TreeMap<>())
                        .put(engine, h.fencingToken()));
        return held;
    }

    private static ClaimTable.Lease lease(long offset, ClaimRecord.Renewal r, long readAtNanos) {
        return new ClaimTable.Lease(
                r.node(), r.sequence(), offset, r.leaseMillis(), r.leaving(), r.whole(), readAtNanos);
    }
}
