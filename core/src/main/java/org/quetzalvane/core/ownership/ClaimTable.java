package org.quetzalvane.core.ownership;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

import org.quetzalvane.core.cluster.NodeInfo;

/**
 * Deterministic fold of an ownership stream: who holds which engine under which fencing number.
 *
 * <p>Invariants: every engine has at most one holder; its fencing number is the offset of the winning claim and only
 * grows. A claim wins only if it names the newest lease record of the present holder, so a renewal that was appended
 * before the claim defeats it. A table that has not seen every record, since some expired before they were read, is not
 * whole: it knows no holder and believes no engine unheld until a snapshot or an accepted reset makes it whole.
 *
 * <p>Thread-safe; its monitor is a leaf in the lock order.
 */
public final class ClaimTable {
    /** Offset that stands for an engine that nobody holds. */
    public static final long UNHELD = -1;

    private static final int MAX_KEPT_RECORDS = 20_000;
    private static final long PRUNE_EVERY_RECORDS = 4096;
    private static final long PRUNE_AGE_RECORDS = 100_000;

    private final Deque<Kept> kept = new ArrayDeque<>();
    private ClaimState state = new ClaimState();
    private boolean whole = true;
    private long first;
    private long last = -1;
    private long newestWhole = -1;

    /** A record kept until a snapshot tells what came before it. */
    private record Kept(long offset, ClaimRecord record) {}

    /**
     * A won claim. Immutable.
     *
     * @param node the node
     * @param incarnation incarnation of the node
     * @param fencingToken fencing number, the offset of the winning claim
     */
    public record Holding(String node, long incarnation, long fencingToken) {}

    /**
     * The newest lease record of a node. Immutable.
     *
     * @param node the node
     * @param sequence number of the renewal within the incarnation
     * @param offset offset on the log
     * @param leaseMillis how long the lease holds, in milliseconds
     * @param leaving whether it is leaving
     * @param whole whether the node knew the whole stream when it renewed
     * @param readAtNanos when this process read it, on its own monotonic clock
     */
    public record Lease(
            NodeInfo node,
            long sequence,
            long offset,
            long leaseMillis,
            boolean leaving,
            boolean whole,
            long readAtNanos) {}

    /**
     * What one record changed. Immutable.
     *
     * @param engine name of the engine
     * @param node the node
     * @param won whether the node now holds the engine
     * @param fencingToken fencing number, the offset of the winning claim
     */
    public record Change(String engine, String node, boolean won, long fencingToken) {}

    /**
     * What came of one record. Immutable.
     *
     * @param counted whether a renewal counts; false for one of an older incarnation or on a table that is not whole
     * @param changes the changes of holders
     */
    public record Applied(boolean counted, List<Change> changes) {}

    /** Applies the record at an offset, read at the given monotonic instant. */
    public synchronized Applied apply(long offset, ClaimRecord record, long readAtNanos) {
        List<Change> changes = new ArrayList<>();
        boolean gap = offset != last + 1;
        last = offset;
        if (gap) {
            forget(offset, changes);
        }
        boolean counted = whole ? fold(offset, record, readAtNanos, changes) : keep(offset, record, readAtNanos);
        noteWhole(offset, record);
        return new Applied(counted, changes);
    }

    /** Whether every record is known, read or from a snapshot. */
    public synchronized boolean whole() {
        return whole;
    }

    public synchronized Optional<Holding> holder(String engine) {
        return Optional.ofNullable(state.holder(engine));
    }

    /** The newest lease record of an incarnation of a node. */
    public synchronized Optional<Lease> lease(String node, long incarnation) {
        return Optional.ofNullable(state.lease(node, incarnation));
    }

    /** Engines held by an incarnation of a node. */
    public synchronized List<String> heldBy(String node, long incarnation) {
        List<String> held = new ArrayList<>();
        state.holdings().forEach((engine, h) -> {
            if (h.node().equals(node) && h.incarnation() == incarnation) {
                held.add(engine);
            }
        });
        return held;
    }

    /** The offset that a claim of the engine must name now. */
    public synchronized long supersedes(String engine) {
        return state.supersedes(engine);
    }

    /** States everything up to the newest record read, when the table is whole. */
    public synchronized Optional<ClaimRecord.Snapshot> snapshot() {
        return whole ? Optional.of(state.snapshot(last, newestWhole)) : Optional.empty();
    }

    /** The reset that a node may append now that has waited since it read the newest whole renewal. */
    public synchronized ClaimRecord.Reset reset() {
        return new ClaimRecord.Reset(first, newestWhole);
    }

    private void forget(long offset, List<Change> changes) {
        state.holdings().forEach((engine, h) -> changes.add(new Change(engine, h.node(), false, h.fencingToken())));
        state = new ClaimState();
        kept.clear();
        whole = false;
        first = offset;
        newestWhole = -1;
    }

    private boolean fold(long offset, ClaimRecord record, long readAtNanos, List<Change> changes) {
        boolean counted = false;
        if (record instanceof ClaimRecord.Renewal) {
            counted = state.renew(offset, (ClaimRecord.Renewal) record, readAtNanos);
        } else if (record instanceof ClaimRecord.Claim) {
            state.claim(offset, (ClaimRecord.Claim) record, changes);
        } else if (record instanceof ClaimRecord.Release) {
            state.release((ClaimRecord.Release) record, changes);
        } else if (record instanceof ClaimRecord.Reset && accepts((ClaimRecord.Reset) record)) {
            state.holdings().forEach((engine, h) -> changes.add(new Change(engine, h.node(), false, h.fencingToken())));
            state = new ClaimState();
        }
        if (offset % PRUNE_EVERY_RECORDS == 0) {
            state.prune(offset - PRUNE_AGE_RECORDS);
        }
        return counted;
    }

    /** Whether no whole node renewed after what the reset's writer had read. */
    private boolean accepts(ClaimRecord.Reset r) {
        return newestWhole <= Math.max(r.first() - 1, r.newestWhole());
    }

    private boolean keep(long offset, ClaimRecord record, long readAtNanos) {
        if (record instanceof ClaimRecord.Snapshot && ((ClaimRecord.Snapshot) record).upTo() >= first - 1) {
            restore((ClaimRecord.Snapshot) record, readAtNanos);
        } else if (record instanceof ClaimRecord.Reset && knowsAndAccepts((ClaimRecord.Reset) record)) {
            whole = true;
            kept.clear();
        } else {
            kept.addLast(new Kept(offset, record));
            if (kept.size() > MAX_KEPT_RECORDS) {
                kept.removeFirst();
                first = kept.getFirst().offset;
            }
        }
        return false;
    }

    /** A table that did not read back to where the reset's writer had read cannot tell, and waits for a snapshot. */
    private boolean knowsAndAccepts(ClaimRecord.Reset r) {
        return Math.max(r.first() - 1, r.newestWhole()) >= first - 1 && accepts(r);
    }

    private void restore(ClaimRecord.Snapshot s, long readAtNanos) {
        state = ClaimState.of(s, readAtNanos);
        newestWhole = s.newestWhole();
        whole = true;
        List<Change> ignored = new ArrayList<>();
        for (Kept k : kept) {
            if (k.offset > s.upTo()) {
                fold(k.offset, k.record, readAtNanos, ignored);
                noteWhole(k.offset, k.record);
            }
        }
        kept.clear();
    }

    private void noteWhole(long offset, ClaimRecord record) {
        if (record instanceof ClaimRecord.Renewal && ((ClaimRecord.Renewal) record).whole()) {
            newestWhole = offset;
        }
    }
}
