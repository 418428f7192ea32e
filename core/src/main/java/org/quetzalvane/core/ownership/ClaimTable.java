package org.quetzalvane.core.ownership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.quetzalvane.core.cluster.NodeInfo;

/**
 * Deterministic fold of an ownership stream: who holds which engine under which fencing number.
 *
 * <p>Invariants: every engine has at most one holder; its fencing number is the offset of the winning claim and only
 * grows. A claim wins only if it names the newest lease record of the present holder, so a renewal that was appended
 * before the claim defeats it.
 *
 * <p>Thread-safe; its monitor is a leaf in the lock order.
 */
public final class ClaimTable {
    /** Offset that stands for an engine that nobody holds. */
    public static final long UNHELD = -1;

    private final Map<String, Holding> holdings = new HashMap<>();
    private final Map<LeaseKey, Lease> leases = new HashMap<>();
    private final Map<String, Long> incarnations = new HashMap<>();

    /**
     * A won claim. Immutable.
     *
     * @param node the node
     * @param incarnation incarnation of the node
     * @param fencing fencing number, the offset of the winning claim
     */
    public record Holding(String node, long incarnation, long fencing) {}

    /**
     * The newest lease record of a node. Immutable.
     *
     * @param readAtNanos when this process read it, on its own monotonic clock
     * @param node the node
     * @param sequence number of the renewal within the incarnation
     * @param offset offset on the log
     * @param leaseMillis how long the lease holds, in milliseconds
     * @param leaving whether it is leaving
     */
    public record Lease(
            NodeInfo node, long sequence, long offset, long leaseMillis, boolean leaving, long readAtNanos) {}

    private record LeaseKey(String node, long incarnation) {}

    /**
     * What one record changed. Immutable.
     *
     * @param engine name of the engine
     * @param node the node
     * @param won whether the node now holds the engine
     * @param fencing fencing number, the offset of the winning claim
     */
    public record Change(String engine, String node, boolean won, long fencing) {}

    /** Applies the record at an offset, read at the given monotonic instant, and lists the changes of holders. */
    public synchronized List<Change> apply(long offset, ClaimRecord record, long readAtNanos) {
        List<Change> changes = new ArrayList<>();
        if (record instanceof ClaimRecord.Renewal) {
            renew(offset, (ClaimRecord.Renewal) record, readAtNanos);
        } else if (record instanceof ClaimRecord.Claim) {
            claim(offset, (ClaimRecord.Claim) record, changes);
        } else {
            release((ClaimRecord.Release) record, changes);
        }
        return changes;
    }

    public synchronized Optional<Holding> holder(String engine) {
        return Optional.ofNullable(holdings.get(engine));
    }

    /** The newest lease record of an incarnation of a node. */
    public synchronized Optional<Lease> lease(String node, long incarnation) {
        return Optional.ofNullable(leases.get(new LeaseKey(node, incarnation)));
    }

    /** Engines held by an incarnation of a node. */
    public synchronized List<String> heldBy(String node, long incarnation) {
        List<String> held = new ArrayList<>();
        holdings.forEach((engine, h) -> {
            if (h.node.equals(node) && h.incarnation == incarnation) {
                held.add(engine);
            }
        });
        return held;
    }

    /** The offset that a claim of the engine must name now. */
    public synchronized long supersedes(String engine) {
        Holding h = holdings.get(engine);
        if (h == null) {
            return UNHELD;
        }
        Lease l = leases.get(new LeaseKey(h.node, h.incarnation));
        return l == null ? h.fencing : Math.max(l.offset, h.fencing);
    }

    private void renew(long offset, ClaimRecord.Renewal r, long readAtNanos) {
        NodeInfo n = r.node();
        long newest = incarnations.merge(n.node(), n.incarnation(), Math::max);
        if (newest > n.incarnation()) {
            return;
        }
        Lease lease = new Lease(n, r.sequence(), offset, r.leaseMillis(), r.leaving(), readAtNanos);
        leases.put(new LeaseKey(n.node(), n.incarnation()), lease);
    }

    private void claim(long offset, ClaimRecord.Claim c, List<Change> changes) {
        for (ClaimRecord.EngineClaim e : c.engines()) {
            boolean won = e.supersedes() == supersedes(e.engine()) && incarnationIsCurrent(c);
            if (won) {
                holdings.put(e.engine(), new Holding(c.node(), c.incarnation(), offset));
            }
            changes.add(new Change(e.engine(), c.node(), won, offset));
        }
    }

    private boolean incarnationIsCurrent(ClaimRecord.Claim c) {
        return incarnations.getOrDefault(c.node(), -1L) == c.incarnation();
    }

    private void release(ClaimRecord.Release r, List<Change> changes) {
        for (String engine : r.engines()) {
            Holding h = holdings.get(engine);
            if (h != null && h.node.equals(r.node()) && h.incarnation == r.incarnation()) {
                holdings.remove(engine);
                changes.add(new Change(engine, r.node(), false, h.fencing));
            }
        }
    }
}
