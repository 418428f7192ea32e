package org.quetzalvane.core.ownership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Owners and leases after applying all records of an ownership stream, or a snapshot and all records after it.
 *
 * <p>Invariants: those of {@link OwnershipTable}; apart from the times of reading, the state depends on records and
 * offsets alone. Not thread-safe; guarded by its {@link OwnershipTable}.
 */
final class OwnershipState {
    private final Map<String, OwnershipTable.EngineOwner> owners = new HashMap<>();
    private final Map<LeaseKey, OwnershipTable.Lease> leases = new HashMap<>();
    private final Map<String, Long> incarnations = new HashMap<>();

    private record LeaseKey(String node, long incarnation) {}

    /** Restores the state from a snapshot that was read at the given monotonic time. */
    static OwnershipState of(OwnershipRecord.Snapshot snapshot, long readAtNanos) {
        OwnershipState state = new OwnershipState();
        for (OwnershipRecord.LeaseWithEngines lease : snapshot.leases()) {
            OwnershipRecord.Renewal r = lease.renewal();
            String node = r.node().node();
            long incarnation = r.node().incarnation();
            state.leases.put(new LeaseKey(node, incarnation), lease(lease.offset(), r, readAtNanos));
            state.incarnations.merge(node, incarnation, Math::max);
            lease.engines()
                    .forEach((engine, fencingToken) ->
                            state.owners.put(engine, new OwnershipTable.EngineOwner(node, incarnation, fencingToken)));
        }
        return state;
    }

    OwnershipTable.EngineOwner owner(String engine) {
        return owners.get(engine);
    }

    Map<String, OwnershipTable.EngineOwner> owners() {
        return owners;
    }

    OwnershipTable.Lease lease(String node, long incarnation) {
        return leases.get(new LeaseKey(node, incarnation));
    }

    long supersedes(String engine) {
        OwnershipTable.EngineOwner owner = owners.get(engine);
        if (owner == null) {
            return OwnershipTable.UNOWNED;
        }
        OwnershipTable.Lease lease = lease(owner.node(), owner.incarnation());
        return lease == null ? owner.fencingToken() : Math.max(lease.offset(), owner.fencingToken());
    }

    /** Applies a renewal; returns false, without effect, when a newer incarnation of the node is known. */
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
            boolean acquired = current && e.supersedes() == supersedes(e.engine());
            if (acquired) {
                owners.put(e.engine(), new OwnershipTable.EngineOwner(c.node(), c.incarnation(), offset));
            }
            changes.add(new OwnershipTable.Change(e.engine(), c.node(), acquired, offset));
        }
    }

    void release(OwnershipRecord.Release r, List<OwnershipTable.Change> changes) {
        for (String engine : r.engines()) {
            OwnershipTable.EngineOwner owner = owners.get(engine);
            if (owner != null && owner.node().equals(r.node()) && owner.incarnation() == r.incarnation()) {
                owners.remove(engine);
                changes.add(new OwnershipTable.Change(engine, r.node(), false, owner.fencingToken()));
            }
        }
    }

    /**
     * Removes the leases without engines that are older than the given offset or superseded by a newer incarnation. A
     * node without any lease left is forgotten, with its newest incarnation.
     */
    void prune(long beforeOffset) {
        Map<LeaseKey, Map<String, Long>> enginesByLease = enginesByLease();
        leases.entrySet().removeIf(e -> {
            boolean superseded = incarnations.getOrDefault(e.getKey().node, -1L) > e.getKey().incarnation;
            return !enginesByLease.containsKey(e.getKey())
                    && (superseded || e.getValue().offset() < beforeOffset);
        });
        incarnations.entrySet().removeIf(e -> lease(e.getKey(), e.getValue()) == null);
    }

    /** A snapshot of the state, for nodes that have not read all records. */
    OwnershipRecord.Snapshot snapshot(long upTo, long newestCompleteRenewal) {
        Map<LeaseKey, Map<String, Long>> enginesByLease = enginesByLease();
        List<OwnershipRecord.LeaseWithEngines> all = new ArrayList<>();
        leases.forEach((key, lease) -> {
            OwnershipRecord.Renewal r = new OwnershipRecord.Renewal(
                    lease.node(), lease.sequence(), lease.leaseMillis(), lease.leaving(), lease.complete());
            all.add(new OwnershipRecord.LeaseWithEngines(
                    lease.offset(), r, enginesByLease.getOrDefault(key, Map.of())));
        });
        all.sort((a, b) -> Long.compare(a.offset(), b.offset()));
        return new OwnershipRecord.Snapshot(upTo, newestCompleteRenewal, all);
    }

    private Map<LeaseKey, Map<String, Long>> enginesByLease() {
        Map<LeaseKey, Map<String, Long>> enginesByLease = new HashMap<>();
        owners.forEach((engine, owner) -> enginesByLease
                .computeIfAbsent(new LeaseKey(owner.node(), owner.incarnation()), k -> new TreeMap<>())
                .put(engine, owner.fencingToken()));
        return enginesByLease;
    }

    private static OwnershipTable.Lease lease(long offset, OwnershipRecord.Renewal r, long readAtNanos) {
        return new OwnershipTable.Lease(
                r.node(), r.sequence(), offset, r.leaseMillis(), r.leaving(), r.complete(), readAtNanos);
    }
}
