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
 * increases. A claim wins only if it names the newest lease record or winning claim of the present owner, so a renewal
 * that was appended before the claim defeats it. A table that has not seen every record, because some expired before
 * they were read, is incomplete: it knows no owners and treats no engine as free, until a snapshot or an accepted reset
 * completes it.
 *
 * <p>Thread-safe; its monitor is a leaf in the lock order.
 */
public final class OwnershipTable {
    /** Offset that a claim of an engine without an owner names. */
    public static final long UNOWNED = -1;

    private static final int MAX_BUFFERED_RECORDS = 20_000;
    private static final long PRUNE_INTERVAL_RECORDS = 4096;
    private static final long PRUNE_AGE_RECORDS = 100_000;

    private final Deque<BufferedRecord> buffered = new ArrayDeque<>();
    private OwnershipState state = new OwnershipState();
    private boolean complete = true;
    private long first;
    private long last = -1;
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
     * The newest lease record of a node. Immutable.
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
     * @param fencingToken offset of the claim, also of one that did not win
     */
    public record Change(String engine, String node, boolean acquired, long fencingToken) {}

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
        boolean gap = offset != last + 1;
        last = offset;
        if (gap) {
            discardState(offset, changes);
        }
        boolean renewed =
                complete ? applyToState(offset, record, readAtNanos, changes) : buffer(offset, record, readAtNanos);
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

    /** The newest lease record of an incarnation of a node. */
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

    /** The offset that a claim of the engine must name to win. */
    public synchronized long supersedes(String engine) {
        return state.supersedes(engine);
    }

    /** A snapshot up to the newest record read; empty when the table is incomplete. */
    public synchronized Optional<OwnershipRecord.Snapshot> snapshot() {
        return complete ? Optional.of(state.snapshot(last, newestCompleteRenewal)) : Optional.empty();
    }

    /**
     * The reset to append from an incomplete table; allowed once every lease of a node with a complete state has
     * expired.
     */
    public synchronized OwnershipRecord.Reset reset() {
        return new OwnershipRecord.Reset(first, newestCompleteRenewal);
    }

    private void discardState(long offset, List<Change> changes) {
        state.owners()
                .forEach((engine, owner) -> changes.add(new Change(engine, owner.node(), false, owner.fencingToken())));
        state = new OwnershipState();
        buffered.clear();
        complete = false;
        first = offset;
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
        return newestCompleteRenewal <= Math.max(r.first() - 1, r.newestWhole());
    }

    private boolean buffer(long offset, OwnershipRecord record, long readAtNanos) {
        if (record instanceof OwnershipRecord.Snapshot && ((OwnershipRecord.Snapshot) record).upTo() >= first - 1) {
            restore((OwnershipRecord.Snapshot) record, readAtNanos);
        } else if (record instanceof OwnershipRecord.Reset && acceptsWhileIncomplete((OwnershipRecord.Reset) record)) {
            complete = true;
            buffered.clear();
        } else {
            buffered.addLast(new BufferedRecord(offset, record));
            if (buffered.size() > MAX_BUFFERED_RECORDS) {
                buffered.removeFirst();
                first = buffered.getFirst().offset;
            }
        }
        return false;
    }

    /**
     * Whether an incomplete table accepts a reset. One that did not read the records from where the writer stopped
     * cannot decide, and waits for a snapshot.
     */
    private boolean acceptsWhileIncomplete(OwnershipRecord.Reset r) {
        return Math.max(r.first() - 1, r.newestWhole()) >= first - 1 && accepts(r);
    }

    private void restore(OwnershipRecord.Snapshot s, long readAtNanos) {
        state = OwnershipState.of(s, readAtNanos);
        newestCompleteRenewal = s.newestWhole();
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
        if (record instanceof OwnershipRecord.Renewal && ((OwnershipRecord.Renewal) record).whole()) {
            newestCompleteRenewal = offset;
        }
    }
}
