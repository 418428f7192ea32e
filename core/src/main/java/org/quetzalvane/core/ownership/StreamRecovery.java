package org.quetzalvane.core.ownership;

import java.time.Duration;
import java.util.function.Consumer;
import java.util.function.IntSupplier;

import org.quetzalvane.core.event.EventCode;
import org.quetzalvane.core.event.EventLog;
import org.quetzalvane.core.time.Scheduler;

/**
 * Appends the snapshots and resets that complete the state of nodes which start after records of the stream expired.
 *
 * <p>A renewal by a node with an incomplete state requests a snapshot. The nodes with a complete state respond after a
 * delay by rank, each only if no snapshot was read during the delay. When no node with a complete state has renewed for
 * longer than the longest lease, a node with an incomplete state appends a reset. Invariant: a reset is appended no
 * earlier than the longest lease duration plus the margin after this node read the last complete renewal or gap, or
 * started. Thread-safe; its monitor is a leaf in the lock order.
 */
final class StreamRecovery {
    private static final Duration DELAY_PER_RANK = Duration.ofSeconds(1);

    private final OwnershipTable table;
    private final Scheduler scheduler;
    private final EventLog events;
    private final Consumer<OwnershipRecord> appender;
    private final long marginNanos;
    private long longestLeaseNanos;
    private long resetDelayStartNanos;
    private long snapshots;
    private boolean snapshotScheduled;

    StreamRecovery(
            OwnershipTable table,
            OwnershipConfig config,
            Scheduler scheduler,
            EventLog events,
            Consumer<OwnershipRecord> appender) {
        this.table = table;
        this.scheduler = scheduler;
        this.events = events;
        this.appender = appender;
        this.marginNanos = config.expiryMargin().toNanos();
        this.longestLeaseNanos = config.leaseDuration().toNanos();
        this.resetDelayStartNanos = scheduler.nanoTime();
    }

    /** Handles a record that was just applied; the rank of this node determines the delay of its snapshot. */
    void applied(OwnershipRecord record, boolean gap, IntSupplier rank) {
        if (gap) {
            restartResetDelay();
        }
        if (record instanceof OwnershipRecord.Snapshot) {
            countSnapshot();
        } else if (record instanceof OwnershipRecord.Renewal) {
            handleRenewal((OwnershipRecord.Renewal) record, rank);
        }
    }

    /** Appends a reset when every lease of a node with a complete state must have expired. */
    void resetIfNoCompleteNode() {
        if (!table.complete() && resetIsDue()) {
            restartResetDelay();
            appender.accept(table.createReset());
        }
    }

    private void handleRenewal(OwnershipRecord.Renewal r, IntSupplier rank) {
        if (r.complete()) {
            restartResetDelay();
            updateLongestLease(Duration.ofMillis(r.leaseMillis()).toNanos());
        } else if (table.complete() && markSnapshotScheduled()) {
            long snapshotsBefore = snapshotCount();
            scheduler.schedule(DELAY_PER_RANK.multipliedBy(rank.getAsInt()), () -> appendSnapshot(snapshotsBefore));
        }
    }

    private void appendSnapshot(long snapshotsBefore) {
        boolean due = endSnapshotDelay(snapshotsBefore);
        table.snapshot().filter(s -> due).ifPresent(s -> {
            events.record(EventCode.SNAPSHOT_WRITTEN, "ownership", "up to " + s.upTo());
            appender.accept(s);
        });
    }

    /** Returns whether no snapshot was scheduled before. */
    private synchronized boolean markSnapshotScheduled() {
        boolean first = !snapshotScheduled;
        snapshotScheduled = true;
        return first;
    }

    /** Returns whether no snapshot was read during the delay. */
    private synchronized boolean endSnapshotDelay(long snapshotsBefore) {
        snapshotScheduled = false;
        return snapshots == snapshotsBefore;
    }

    private synchronized long snapshotCount() {
        return snapshots;
    }

    private synchronized void countSnapshot() {
        snapshots++;
    }

    private synchronized void restartResetDelay() {
        resetDelayStartNanos = scheduler.nanoTime();
    }

    private synchronized void updateLongestLease(long leaseNanos) {
        longestLeaseNanos = Math.max(longestLeaseNanos, leaseNanos);
    }

    private synchronized boolean resetIsDue() {
        return scheduler.nanoTime() - resetDelayStartNanos > longestLeaseNanos + marginNanos;
    }
}
