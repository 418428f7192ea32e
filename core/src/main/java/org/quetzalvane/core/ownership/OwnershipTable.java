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
public final class OwnershipTable {
    /** Offset that stands for an engine that nobody holds. */
    public static final long UNOWNED = -1;

    private static final int MAX_KEPT_RECORDS = 20_000;
    private static final long PRUNE_EVERY_RECORDS = 4096;
    private static final long PRUNE_AGE_RECORDS = 100_000;

    private final Deque<Kept> kept = new ArrayDeque<>();
    private ClaimState state = new ClaimState();
    private boolean complete = true;
    private long first;
    private long last = -1;
    private long newestWhole = -1;

    /** A record kept until a snapshot tells what came before it. */
    private record Kept(long offset, OwnershipRecord record) {}

    /**
     * A won claim. Immutable.
     *
     * @param node the node
     * @param incarnation incarnation of the node
     * @param fencingToken fencing number, the offset of the winning claim
     */
    public record EngineOwner(String node, long incarnation, long fencingToken) {}

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
    public synchronized Applied apply(long offset, OwnershipRecord record, long readAtNanos) {
        List<Change> changes = new ArrayList<>();
        boolean gap = offset != last + 1;
        last = offset;
        if (gap) {
            forget(offset, changes);
        }
        boolean counted = complete ? fold(offset, record, readAtNanos, changes) : keep(offset, record, readAtNanos);
        noteWhole(offset, record);
        return new Applied(counted, changes);
    }

    /** Whether every record is known, read or from a snapshot. */
    public synchronized boolean complete() {
        return complete;
    }

    public synchronized Optional<EngineOwner> owner(String engine) {
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
    public synchronized Optional<OwnershipRecord.Snapshot> snapshot() {
        return complete ? Optional.of(state.snapshot(last, newestWhole)) : Optional.empty();
    }

    /** The reset that a node may append now that has waited since it read the newest whole renewal. */
    public synchronized OwnershipRecord.Reset reset() {
        return new OwnershipRecord.Reset(first, newestWhole);
    }

    private void forget(long offset, List<Change> changes) {
        state.holdings().forEach((engine, h) -> changes.add(new Change(engine, h.node(), false, h.fencingToken())));
        state = new ClaimState();
        kept.clear();
        complete = false;
        first = offset;
        newestWhole = -1;
    }

    private boolean fold(long offset, OwnershipRecord record, long readAtNanos, List<Change> changes) {
        boolean counted = false;
        if (record instanceof OwnershipRecord.Renewal) {
            counted = state.renew(offset, (OwnershipRecord.Renewal) record, readAtNanos);
        } else if (record instanceof OwnershipRecord.Claim) {
            state.claim(offset, (OwnershipRecord.Claim) record, changes);
        } else if (record instanceof OwnershipRecord.Release) {
            state.release((OwnershipRecord.Release) record, changes);
        } else if (record instanceof OwnershipRecord.Reset && accepts((OwnershipRecord.Reset) record)) {
            state.holdings().forEach((engine, h) -> changes.add(new Change(engine, h.node(), false, h.fencingToken())));
            state = new ClaimState();
        }
        if (offset % PRUNE_EVERY_RECORDS == 0) {
            state.prune(offset - PRUNE_AGE_RECORDS);
        }
        return counted;
    }

    /** Whether no whole node renewed after what the reset's writer had read. */
    private boolean accepts(OwnershipRecord.Reset r) {
        return newestWhole <= Math.max(r.first() - 1, r.newestWhole());
    }

    private boolean keep(long offset, OwnershipRecord record, long readAtNanos) {
        if (record instanceof OwnershipRecord.Snapshot && ((OwnershipRecord.Snapshot) record).upTo() >= first - 1) {
            restore((OwnershipRecord.Snapshot) record, readAtNanos);
        } else if (record instanceof OwnershipRecord.Reset && knowsAndAccepts((OwnershipRecord.Reset) record)) {
            complete = true;
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
    private boolean knowsAndAccepts(OwnershipRecord.Reset r) {
        return Math.max(r.first() - 1, r.newestWhole()) >= first - 1 && accepts(r);
    }

    private void restore(OwnershipRecord.Snapshot s, long readAtNanos) {
        state = ClaimState.of(s, readAtNanos);
        newestWhole = s.newestWhole();
        complete = true;
        List<Change> ignored = new ArrayList<>();
        for (Kept k : kept) {
            if (k.offset > s.upTo()) {
                fold(k.offset, k.record, readAtNanos, ignored);
                noteWhole(k.offset, k.record);
            }
        }
        kept.clear();
    }

    private void noteWhole(long offset, OwnershipRecord record) {
        if (record instanceof OwnershipRecord.Renewal && ((OwnershipRecord.Renewal) record).whole()) {
            newestWhole = offset;
        }
    }
}
