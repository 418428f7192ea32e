package org.quetzalvane.core.ownership;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

import org.quetzalvane.core.cluster.NodeInfo;

/**
 * The replicated ownership of engines: applies the records of an ownership stream deterministically.
 *
 * <p>Invariants: an engine has at most one owner; its fencing token is the offset of the winning claim and only
 * increases. A claim wins only if the newest known incarnation of its node wrote it and it states {@link #supersedes}:
 * the offset of the newest renewal or winning claim of the present owner, whichever is later, or {@link #UNOWNED}. So a
 * renewal that precedes the claim on the log makes the claim fail. A table that has not read every record, because some
 * expired before they were read, is incomplete: it has no owners, and nothing can be claimed from it, until a snapshot
 * or an accepted reset completes it.
 *
 * <p>Thread-safe; its monitor is a leaf in the lock order.
 */
public final class OwnershipTable {
    /** Offset that a claim of an engine without an owner states as superseded. */
    public static final long UNOWNED = -1;

    private static final int MAX_BUFFERED_RECORDS = 20_000;
    private static final long PRUNE_INTERVAL_RECORDS = 4096;
    private static final long PRUNE_AGE_RECORDS = 100_000;

    private final Deque<BufferedRecord> buffered = new ArrayDeque<>();
    private OwnershipState state = new OwnershipState();
    private boolean complete = true;
    /** Offset from which every record has been read or buffered since the last gap. */
    private long bufferedFromOffset;

    private long lastOffset = -1;
    private long newestCompleteRenewal = -1;

    /** A record buffered until a snapshot supplies the state before it. */
    private record BufferedRecord(long offset, OwnershipRecord record) {}

    /**
     * The owner of an engine. Immutable.
     *
     * @param node the node
     * @param incarnation incarnation of the node
     * @param fencingToken fencing token, the offset of the winning claim
     */
    public record EngineOwner(String node, long incarnation, long fencingToken) {}

    /**
     * The newest renewal of the lease of a node. Immutable.
     *
     * @param node the node
     * @param sequence number of the renewal within the incarnation
     * @param offset offset on the log
     * @param leaseMillis duration of the lease in milliseconds
     * @param leaving whether the node is leaving
     * @param complete whether the state of the node was complete when it renewed
     * @param readAtNanos when this process read the record, on its own monotonic clock
     */
    public record Lease(
            NodeInfo node,
            long sequence,
            long offset,
            long leaseMillis,
            boolean leaving,
            boolean complete,
            long readAtNanos) {}

    /**
     * The effect of a record on one engine. Immutable.
     *
     * @param engine name of the engine
     * @param node the node that claimed or lost the engine
     * @param acquired whether the node now owns the engine
     * @param claimOffset offset of the claim, also of a claim that did not win; the winning claim of the former owner
     *    if the engine was released or the state discarded
     */
    public record Change(String engine, String node, boolean acquired, long claimOffset) {}

    /**
     * The result of applying one record. Immutable.
     *
     * @param renewed whether a renewal took effect; false for one of an older incarnation, on an incomplete table, and
     *    for every other record
     * @param changes the effects on engines
     */
    public record Applied(boolean renewed, List<Change> changes) {}

    /** Applies the record at an offset, read at the given monotonic time. */
    public synchronized Applied apply(long offset, OwnershipRecord record, long readAtNanos) {
        List<Change> changes = new ArrayList<>();
        boolean gap = offset != lastOffset + 1;
        lastOffset = offset;
        if (gap) {
            discardState(offset, changes);
        }
        boolean renewed = complete
                ? applyToState(offset, record, readAtNanos, changes)
                : applyWhileIncomplete(offset, record, readAtNanos);
        updateNewestCompleteRenewal(offset, record);
        return new Applied(renewed, changes);
    }

    /** Whether the effect of every record is known, from the records themselves or from a snapshot. */
    public synchronized boolean complete() {
        return complete;
    }

    public synchronized Optional<EngineOwner> owner(String engine) {
        return Optional.ofNullable(state.owner(engine));
    }

    /** The lease of an incarnation of a node, after its newest renewal. */
    public synchronized Optional<Lease> lease(String node, long incarnation) {
        return Optional.ofNullable(state.lease(node, incarnation));
    }

    /** The engines that an incarnation of a node owns. */
    public synchronized List<String> enginesOf(String node, long incarnation) {
        List<String> engines = new ArrayList<>();
        state.owners().forEach((engine, owner) -> {
            if (owner.node().equals(node) && owner.incarnation() == incarnation) {
                engines.add(engine);
            }
        });
        return engines;
    }

    /** The offset that a claim of the engine must state as superseded to win. */
    public synchronized long supersedes(String engine) {
        return state.supersedes(engine);
    }

    /** A snapshot up to the newest record read; empty when the table is incomplete. */
    public synchronized Optional<OwnershipRecord.Snapshot> snapshot() {
        return complete ? Optional.of(state.snapshot(lastOffset, newestCompleteRenewal)) : Optional.empty();
    }

    /**
     * Creates the reset record for the present state of an incomplete table. The calling code must append the record
     * only after every lease of a node with a complete state has expired.
     */
    public synchronized OwnershipRecord.Reset createReset() {
        return new OwnershipRecord.Reset(bufferedFromOffset, newestCompleteRenewal);
    }

    private void discardState(long offset, List<Change> changes) {
        state.owners()
                .forEach((engine, owner) -> changes.add(new Change(engine, owner.node(), false, owner.fencingToken())));
        state = new OwnershipState();
        buffered.clear();
        complete = false;
        bufferedFromOffset = offset;
        newestCompleteRenewal = -1;
    }

    private boolean applyToState(long offset, OwnershipRecord record, long readAtNanos, List<Change> changes) {
        boolean renewed = false;
        if (record instanceof OwnershipRecord.Renewal) {
            renewed = state.renew(offset, (OwnershipRecord.Renewal) record, readAtNanos);
        } else if (record instanceof OwnershipRecord.Claim) {
            state.claim(offset, (OwnershipRecord.Claim) record, changes);
        } else if (record instanceof OwnershipRecord.Release) {
            state.release((OwnershipRecord.Release) record, changes);
        } else if (record instanceof OwnershipRecord.Reset && accepts((OwnershipRecord.Reset) record)) {
            state.owners()
                    .forEach((engine, owner) ->
                            changes.add(new Change(engine, owner.node(), false, owner.fencingToken())));
            state = new OwnershipState();
        }
        if (offset % PRUNE_INTERVAL_RECORDS == 0) {
            state.prune(offset - PRUNE_AGE_RECORDS);
        }
        return renewed;
    }

    /**
     * Whether no node with a complete state renewed its lease after the records that the writer of the reset had read.
     */
    private boolean accepts(OwnershipRecord.Reset r) {
        return newestCompleteRenewal <= Math.max(r.first() - 1, r.newestCompleteRenewal());
    }

    /**
     * Buffers a record, or completes the table by a snapshot or an accepted reset; returns false, as nothing renews.
     */
    private boolean applyWhileIncomplete(long offset, OwnershipRecord record, long readAtNanos) {
        if (record instanceof OwnershipRecord.Snapshot
                && ((OwnershipRecord.Snapshot) record).upTo() >= bufferedFromOffset - 1) {
            restore((OwnershipRecord.Snapshot) record, readAtNanos);
        } else if (record instanceof OwnershipRecord.Reset && acceptsWhileIncomplete((OwnershipRecord.Reset) record)) {
            complete = true;
            buffered.clear();
        } else {
            buffered.addLast(new BufferedRecord(offset, record));
            if (buffered.size() > MAX_BUFFERED_RECORDS) {
                buffered.removeFirst();
                bufferedFromOffset = buffered.getFirst().offset;
            }
        }
        return false;
    }

    /**
     * Whether an incomplete table accepts a reset: it must have read every record after the offsets that the writer
     * took into account, and no renewal with a complete state among them. Otherwise the reset has no effect here and
     * the table stays incomplete.
     */
    private boolean acceptsWhileIncomplete(OwnershipRecord.Reset r) {
        return Math.max(r.first() - 1, r.newestCompleteRenewal()) >= bufferedFromOffset - 1 && accepts(r);
    }

    private void restore(OwnershipRecord.Snapshot s, long readAtNanos) {
        state = OwnershipState.of(s, readAtNanos);
        newestCompleteRenewal = s.newestCompleteRenewal();
        complete = true;
        List<Change> ignored = new ArrayList<>();
        for (BufferedRecord b : buffered) {
            if (b.offset > s.upTo()) {
                applyToState(b.offset, b.record, readAtNanos, ignored);
                updateNewestCompleteRenewal(b.offset, b.record);
            }
        }
        buffered.clear();
    }

    private void updateNewestCompleteRenewal(long offset, OwnershipRecord record) {
        if (record instanceof OwnershipRecord.Renewal && ((OwnershipRecord.Renewal) record).complete()) {
            newestCompleteRenewal = offset;
        }
    }
}
