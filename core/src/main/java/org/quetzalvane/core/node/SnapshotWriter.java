package org.quetzalvane.core.node;

import java.time.Duration;
import java.util.List;
import java.util.Random;

import org.quetzalvane.core.cluster.NodeContext;
import org.quetzalvane.core.config.ConfigTable;
import org.quetzalvane.core.event.EventCode;
import org.quetzalvane.core.port.LogPort;

/**
 * Appends a snapshot of the configuration to the log when no node has appended one for the snapshot interval.
 *
 * <p>Every node checks the end of the stream after random delays, so that two nodes seldom write at once; readers
 * accept both snapshots. A new end of the stream restarts the interval of each node. Parts are appended one after the
 * other, {@link #PART_INTERVAL} apart, to stay well within the log's write budget. A failed append ends the write; a
 * later check starts a new one.
 *
 * <p>Thread-safe; its monitor is a leaf in the lock order.
 */
final class SnapshotWriter {
    private static final int CHECKS_PER_INTERVAL = 8;
    private static final Duration PART_INTERVAL = Duration.ofMillis(100);

    private final NodeContext context;
    private final LogPort log;
    private final SnapshotLogReader logReader;
    private final ConfigTable config;
    private final ConfigFeed feed;
    private final Duration interval;
    private final Random random;
    private long lastEnd = -1;
    private long endChangedAtNanos;
    private boolean writing;

    SnapshotWriter(NodeContext context, LogPort log, ConfigTable config, ConfigFeed feed, Duration interval) {
        this.context = context;
        this.log = log;
        this.logReader = new SnapshotLogReader(log);
        this.config = config;
        this.feed = feed;
        this.interval = interval;
        this.random = new Random(context.self().node().hashCode());
    }

    void start() {
        scheduleCheck();
    }

    private void scheduleCheck() {
        long checkMillis = interval.toMillis() / CHECKS_PER_INTERVAL;
        Duration delay = Duration.ofMillis(checkMillis + (long) (random.nextDouble() * checkMillis));
        context.scheduler().schedule(delay, this::check);
    }

    private void check() {
        scheduleCheck();
        logReader.readExtent().thenAccept(extent -> {
            if (tryStartWrite(extent.first(), extent.end())) {
                append(config.snapshot(), 0);
            }
        });
    }

    /**
     * Returns true, and marks a write as running, if a snapshot is due and may be written. It is due if the end of the
     * stream has not moved for the interval or the stream is empty. It may be written if no write is running, the
     * initial synchronization is done, the last read of the log succeeded and a configuration record has been applied.
     */
    private synchronized boolean tryStartWrite(long first, long end) {
        long now = context.scheduler().nanoTime();
        if (end != lastEnd) {
            lastEnd = end;
            endChangedAtNanos = now;
        }
        boolean due = first == end || now - endChangedAtNanos >= interval.toNanos();
        if (!due || writing || !feed.initialSyncDone() || feed.isLogDown() || config.appliedOffset() < 0) {
            return false;
        }
        writing = true;
        return true;
    }

    private void append(List<byte[]> parts, int part) {
        log.append(SnapshotLogReader.STREAM, parts.get(part)).whenComplete((offset, failure) -> {
            if (failure == null && part + 1 < parts.size()) {
                context.scheduler().schedule(PART_INTERVAL, () -> append(parts, part + 1));
                return;
            }
            writeFinished();
            if (failure == null) {
                context.events().record(EventCode.SNAPSHOT_WRITTEN, SnapshotLogReader.STREAM, parts.size() + " parts");
            }
        });
    }

    private synchronized void writeFinished() {
        writing = false;
    }
}
