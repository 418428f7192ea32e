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
 * Brings the configuration records to the table, from the log and from other nodes, and knows how far behind it is.
 *
 * <p>Invariants: records reach the table in offset order and once; only records that some node has read from the log
 * come through here. A node counts as started once it has reached the highest offset that the log, or in an outage of
 * the log its peers, have shown.
 *
 * <p>Thread-safe. The monitor of the ring is taken before the configuration table's lock and never while a port or a
 * listener is called.
 */
public final class ConfigFeed {
    private static final long RING_BYTES = 2 << 20;

    private final NodeContext context;
    private final ConfigTable config;
    private final LogFollower follower;
    private final SnapshotStore snapshots;
    private final RecentRecords ring = new RecentRecords(RING_BYTES);
    private final List<Waiter> waiters = new ArrayList<>();
    private final AtomicLong highestSeen = new AtomicLong(-1);
    private volatile boolean peersAnswered;
    private volatile boolean started;

    /** Builds a feed of a table from the log; {@link #start()} begins to read. */
    public ConfigFeed(NodeContext context, LogPort log, Duration poll, ConfigTable config) {
        this.context = context;
        this.config = config;
        follower = new LogFollower(
                log, Coordinator.CONFIG_STREAM, context.scheduler(), poll, context.events(), this::take, this::bridge);
        snapshots = new SnapshotStore(log);
    }

    // Life cycle

    public void start() {
        snapshots
                .newest()
                .thenAccept(found -> found.ifPresent(this::restore))
                .whenComplete((x, failure) -> follower.start(config.appliedOffset() + 1));
    }

    // Public API

    /** Notes that a node has applied an offset. */
    public void seen(long offset) {
        highestSeen.accumulateAndGet(offset, Math::max);
    }

    /** Whether a peer has shown an offset that is not applied here yet. */
    public boolean behind() {
        return config.appliedOffset() < highestSeen.get();
    }

    /** Whether the last read of the log failed. */
    public boolean logDown() {
        return follower.down();
    }

    /** Records known to the log and not read from it yet; -1 before the first read. */
    public long lag() {
        return follower.lag();
    }

    /** Whether the node has once reached the highest offset known; it stays so. */
    public boolean started() {
        if (!started) {
            boolean known = follower.caughtUp() || follower.down() && peersAnswered;
            started = known && !behind();
        }
        return started;
    }

    /** Waits until an offset has been applied; completes with false when it was not within the limit. */
    public CompletableFuture<Boolean> awaitOffset(long offset, Duration limit) {
        CompletableFuture<Boolean> reached = new CompletableFuture<>();
        synchronized (waiters) {
            waiters.add(new Waiter(offset, reached));
        }
        completeWaiters();
        if (!reached.isDone()) {
            context.scheduler().schedule(limit, () -> giveUp(reached));
        }
        return reached;
    }

    /** Takes consecutive records that another node has read from the log; those that leave a gap are not applied. */
    public void fromPeer(long from, List<byte[]> records) {
        for (int i = 0; i < records.size(); i++) {
            long offset = from + i;
            if (offset == config.appliedOffset() + 1) {
                take(offset, records.get(i));
            }
        }
        peersAnswered |= !records.isEmpty() || from <= config.appliedOffset() + 1;
    }

    /** Replaces the state by a snapshot of a later offset, from the log or from a peer. */
    void restore(List<SnapshotCodec.Part> parts) {
        if (config.restore(parts)) {
            String detail = "at offset " + parts.get(0).at() + " from " + parts.size() + " parts";
            context.events().record(EventCode.SNAPSHOT_RESTORED, Coordinator.CONFIG_STREAM, detail);
            peersAnswered = true;
            completeWaiters();
        }
    }

    /** Records from an offset on, up to some bytes; empty when they are not held any more or not known yet. */
    public List<byte[]> records(long from, long maxBytes) {
        synchronized (ring) {
            return ring.from(from, maxBytes);
        }
    }

    // Helpers

    /** Restores from a snapshot; fails when the newest one leaves a gap, so that nothing is skipped. */
    private CompletableFuture<Long> bridge(long first) {
        return snapshots.newest().thenApply(found -> {
            found.ifPresent(this::restore);
            long next = config.appliedOffset() + 1;
            if (next < first) {
                throw new LogExpiredException(first);
            }
            return next;
        });
    }

    private void take(long offset, byte[] data) {
        Optional<RecordOutcome> outcome;
        synchronized (ring) {
            outcome = config.apply(offset, data);
            if (outcome.isPresent()) {
                ring.add(offset, data);
            }
        }
        outcome.ifPresent(this::recordOutcome);
        completeWaiters();
    }

    private void recordOutcome(RecordOutcome o) {
        String subject = o.key() == null ? "offset " + o.offset() : o.key().toString();
        EventCode code = o.accepted() ? EventCode.CONFIG_APPLIED : EventCode.CONFIG_REFUSED;
        context.events().record(code, subject, "offset " + o.offset() + " " + o.code() + " " + o.message());
    }

    private void completeWaiters() {
        long applied = config.appliedOffset();
        List<Waiter> done = new ArrayList<>();
        synchronized (waiters) {
            for (Iterator<Waiter> i = waiters.iterator(); i.hasNext(); ) {
                Waiter w = i.next();
                if (w.offset() <= applied) {
                    done.add(w);
                    i.remove();
                }
            }
        }
        done.forEach(w -> w.reached().complete(true));
    }

    private void giveUp(CompletableFuture<Boolean> reached) {
        synchronized (waiters) {
            waiters.removeIf(w -> w.reached() == reached);
        }
        reached.complete(false);
    }

    private record Waiter(long offset, CompletableFuture<Boolean> reached) {}
}
