package org.quetzalvane.core.ownership;

import java.time.Duration;
import java.util.function.Consumer;
import java.util.function.IntSupplier;

import org.quetzalvane.core.event.EventCode;
import org.quetzalvane.core.event.EventLog;
import org.quetzalvane.core.time.Scheduler;

/**
 * Keeps the ownership stream readable for nodes that start after some of its records expired.
 *
 * <p>A renewal of a node that lacks the beginning asks for a snapshot; the whole nodes answer in the order of their
 * rank, each only when none before it did. When no whole node renewed for longer than a lease, a node without the
 * beginning appends a reset. Invariant: a reset is appended only after the longest lease that could be held has lapsed,
 * counted from this node's own reading. Thread-safe; its monitor is a leaf in the lock order.
 */
final class Restatement {
    private static final Duration RANK_PAUSE = Duration.ofSeconds(1);

    private final OwnershipTable table;
    private final Scheduler scheduler;
    private final EventLog events;
    private final Consumer<OwnershipRecord> appender;
    private final long marginNanos;
    private long longestLeaseNanos;
    private long wholeSeenNanos;
    private long snapshots;
    private boolean asked;

    Restatement(
            OwnershipTable table,
            OwnershipConfig config,
            Scheduler scheduler,
            EventLog events,
            Consumer<OwnershipRecord> to) {
        this.table = table;
        this.scheduler = scheduler;
        this.events = events;
        this.appender = to;
        this.marginNanos = config.margin().toNanos();
        this.longestLeaseNanos = config.lease().toNanos();
        this.wholeSeenNanos = scheduler.nanoTime();
    }

    /** Notes a record just applied; the rank of this node orders the answers to a wish for a snapshot. */
    void applied(OwnershipRecord record, boolean gap, IntSupplier rank) {
        if (gap) {
            wholeSeen();
        }
        if (record instanceof OwnershipRecord.Snapshot) {
            snapshotSeen();
        } else if (record instanceof OwnershipRecord.Renewal) {
            renewalSeen((OwnershipRecord.Renewal) record, rank);
        }
    }

    /** Appends a reset when nobody can be left who knows the whole stream. */
    void resetIfAlone() {
        if (!table.complete() && alone()) {
            wholeSeen();
            appender.accept(table.reset());
        }
    }

    private void renewalSeen(OwnershipRecord.Renewal r, IntSupplier rank) {
        if (r.whole()) {
            wholeSeen();
            lengthen(Duration.ofMillis(r.leaseMillis()).toNanos());
        } else if (table.complete() && ask()) {
            long before = snapshotsSeen();
            scheduler.schedule(RANK_PAUSE.multipliedBy(rank.getAsInt()), () -> answer(before));
        }
    }

    private void answer(long before) {
        boolean nobodyDid = answerIsDue(before);
        table.snapshot().filter(s -> nobodyDid).ifPresent(s -> {
            events.record(EventCode.SNAPSHOT_WRITTEN, "ownership", "up to " + s.upTo());
            appender.accept(s);
        });
    }

    private synchronized boolean ask() {
        boolean first = !asked;
        asked = true;
        return first;
    }

    private synchronized boolean answerIsDue(long before) {
        asked = false;
        return snapshots == before;
    }

    private synchronized long snapshotsSeen() {
        return snapshots;
    }

    private synchronized void snapshotSeen() {
        snapshots++;
    }

    private synchronized void wholeSeen() {
        wholeSeenNanos = scheduler.nanoTime();
    }

    private synchronized void lengthen(long leaseNanos) {
        longestLeaseNanos = Math.max(longestLeaseNanos, leaseNanos);
    }

    private synchronized boolean alone() {
        return scheduler.nanoTime() - wholeSeenNanos > longestLeaseNanos + marginNanos;
    }
}
