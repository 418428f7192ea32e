package org.quetzalvane.core.node;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;

import org.quetzalvane.core.cluster.NodeContext;
import org.quetzalvane.core.config.ConfigTable;
import org.quetzalvane.core.config.RecentRecords;
import org.quetzalvane.core.config.RecordOutcome;
import org.quetzalvane.core.config.SnapshotCodec;
import org.quetzalvane.core.event.EventCode;
import org.quetzalvane.core.exc.LogExpiredException;
import org.quetzalvane.core.log.LogFollower;
import org.quetzalvane.core.port.LogPort;

/**
 * Applies configuration records from the log and from other nodes to the configuration table and tracks the lag.
 *
 * <p>Invariants: records are applied in offset order and once; every record was read from the log by some node. The
 * initial synchronization is done once the node has applied the highest offset known from the log or, in an outage of
 * the log, from its peers.
 *
 * <p>Thread-safe. The monitor of the recent records is taken before the lock of the configuration table and is not held
 * while a port or a listener is called.
 */
public final class ConfigFeed {
    private static final long MAX_RECENT_BYTES = 2 << 20;

    private final NodeContext context;
    private final ConfigTable config;
    private final LogFollower follower;
    private final SnapshotLogReader snapshots;
    private final RecentRecords recentRecords = new RecentRecords(MAX_RECENT_BYTES);
    private final List<Waiter> waiters = new ArrayList<>();
    private final AtomicLong highestPeerOffset = new AtomicLong(-1);
    /**
     * Whether records or a snapshot were received or a peer replied that it has no later records; without the log, the
     * initial synchronization waits for this.
     */
    private volatile boolean peerOffsetKnown;

    private volatile boolean initialSyncDone;

    /** Creates the feed of a table; {@link #start()} starts it. */
    public ConfigFeed(NodeContext context, LogPort log, Duration pollInterval, ConfigTable config) {
        this.context = context;
        this.config = config;
        follower = new LogFollower(
                log,
                Coordinator.CONFIG_STREAM,
                context.scheduler(),
                pollInterval,
                context.events(),
                this::apply,
                this::restoreAfterGap);
        snapshots = new SnapshotLogReader(log);
    }

    // Life cycle

    public void start() {
        snapshots
                .readNewest()
                .thenAccept(found -> found.ifPresent(this::restore))
                .whenComplete((x, failure) -> follower.start(config.appliedOffset() + 1));
    }

    // Public API

    /** Records that another node has applied an offset. */
    public void recordPeerOffset(long offset) {
        highestPeerOffset.accumulateAndGet(offset, Math::max);
    }

    /** Returns whether a peer has reported an offset that is not applied here yet. */
    public boolean isBehindPeers() {
        return config.appliedOffset() < highestPeerOffset.get();
    }

    /** Returns whether the last read of the log failed. */
    public boolean isLogDown() {
        return follower.isLogDown();
    }

    /** Returns the number of records on the log that are not read yet, or -1 before the first read. */
    public long lag() {
        return follower.lag();
    }

    /** Returns whether the node has once applied the highest offset known; true from then on. */
    public boolean initialSyncDone() {
        if (!initialSyncDone) {
            boolean syncTargetKnown = follower.caughtUp() || follower.isLogDown() && peerOffsetKnown;
            initialSyncDone = syncTargetKnown && !isBehindPeers();
        }
        return initialSyncDone;
    }

    /** Completes with true once an offset has been applied, or with false after the timeout. */
    public CompletableFuture<Boolean> awaitOffset(long offset, Duration timeout) {
        CompletableFuture<Boolean> reached = new CompletableFuture<>();
        synchronized (waiters) {
            waiters.add(new Waiter(offset, reached));
        }
        completeWaiters();
        if (!reached.isDone()) {
            context.scheduler().schedule(timeout, () -> completeAfterTimeout(reached));
        }
        return reached;
    }

    /** Applies consecutive records that another node has read from the log; records after a gap are ignored. */
    public void applyFromPeer(long from, List<byte[]> records) {
        for (int index = 0; index < records.size(); index++) {
            long offset = from + index;
            if (offset == config.appliedOffset() + 1) {
                apply(offset, records.get(index));
            }
        }
        peerOffsetKnown |= !records.isEmpty() || from <= config.appliedOffset() + 1;
    }

    /** Replaces the configuration by a snapshot, from the log or from a peer, if its offset is later. */
    void restore(List<SnapshotCodec.Part> parts) {
        if (config.restore(parts)) {
            String detail = "at offset " + parts.get(0).at() + " from " + parts.size() + " parts";
            context.events().record(EventCode.SNAPSHOT_RESTORED, Coordinator.CONFIG_STREAM, detail);
            peerOffsetKnown = true;
            completeWaiters();
        }
    }

    /** Returns records from an offset on, up to {@code maxBytes}; empty if they are no longer kept or not known yet. */
    public List<byte[]> records(long from, long maxBytes) {
        synchronized (recentRecords) {
            return recentRecords.recordsFrom(from, maxBytes);
        }
    }

    // Helpers

    /**
     * Restores the newest snapshot and returns the next offset to read. Fails if the snapshot ends before the first
     * record that the log still keeps, so that no record is skipped.
     */
    private CompletableFuture<Long> restoreAfterGap(long firstKeptOffset) {
        return snapshots.readNewest().thenApply(found -> {
            found.ifPresent(this::restore);
            long next = config.appliedOffset() + 1;
            if (next < firstKeptOffset) {
                throw new LogExpiredException(firstKeptOffset);
            }
            return next;
        });
    }

    private void apply(long offset, byte[] data) {
        Optional<RecordOutcome> outcome;
        synchronized (recentRecords) {
            outcome = config.apply(offset, data);
            if (outcome.isPresent()) {
                recentRecords.add(offset, data);
            }
        }
        outcome.ifPresent(this::recordOutcome);
        completeWaiters();
    }

    private void recordOutcome(RecordOutcome outcome) {
        String subject = outcome.key() == null
                ? "offset " + outcome.offset()
                : outcome.key().toString();
        EventCode code = outcome.accepted() ? EventCode.CONFIG_APPLIED : EventCode.CONFIG_REFUSED;
        context.events()
                .record(code, subject, "offset " + outcome.offset() + " " + outcome.code() + " " + outcome.message());
    }

    private void completeWaiters() {
        long applied = config.appliedOffset();
        List<Waiter> reachedWaiters = new ArrayList<>();
        synchronized (waiters) {
            for (Iterator<Waiter> i = waiters.iterator(); i.hasNext(); ) {
                Waiter waiter = i.next();
                if (waiter.offset() <= applied) {
                    reachedWaiters.add(waiter);
                    i.remove();
                }
            }
        }
        reachedWaiters.forEach(waiter -> waiter.reached().complete(true));
    }

    private void completeAfterTimeout(CompletableFuture<Boolean> reached) {
        synchronized (waiters) {
            waiters.removeIf(w -> w.reached() == reached);
        }
        reached.complete(false);
    }

    private record Waiter(long offset, CompletableFuture<Boolean> reached) {}
}
