package org.quetzalvane.core.node;

import java.time.Duration;
import java.util.List;
import java.util.Random;

import org.quetzalvane.core.cluster.NodeContext;
import org.quetzalvane.core.config.ConfigTable;
import org.quetzalvane.core.event.EventCode;
import org.quetzalvane.core.port.LogPort;

/**
 * Appends a snapshot of the configuration when nobody has appended one for a period.
 *
 * <p>Every node watches the end of the stream; the first whose random delay is over writes, the others see it and wait
 * on. Two may write at once, which is harmless. Parts are appended one after the other with a pause, to stay well
 * within the log's budget. A failed append gives the snapshot up until the next check.
 *
 * <p>Thread-safe; its monitor is a leaf.
 */
final class SnapshotWriter {
    private static final int CHECKS_PER_PERIOD = 8;
    private static final Duration PART_PAUSE = Duration.ofMillis(100);

    private final NodeContext context;
    private final LogPort log;
    private final SnapshotStore store;
    private final ConfigTable config;
    private final ConfigFeed feed;
    private final Duration period;
    private final Random random;
    private long seenEnd = -1;
    private long seenAtNanos;
    private boolean writing;

    SnapshotWriter(NodeContext context, LogPort log, ConfigTable config, ConfigFeed feed, Duration period) {
        this.context = context;
        this.log = log;
        this.store = new SnapshotStore(log);
        this.config = config;
        this.feed = feed;
        this.period = period;
        this.random = new Random(context.self().node().hashCode());
    }

    void start() {
        scheduleCheck();
    }

    private void scheduleCheck() {
        long check = period.toMillis() / CHECKS_PER_PERIOD;
        Duration delay = Duration.ofMillis(check + (long) (random.nextDouble() * check));
        context.scheduler().schedule(delay, this::check);
    }

    private void check() {
        scheduleCheck();
        store.extent().thenAccept(extent -> {
            if (isDue(extent.first(), extent.end())) {
                append(config.snapshot(), 0);
            }
        });
    }

    /** Whether the end of the stream has stood still for a period, or nothing is on the stream. */
    private synchronized boolean isDue(long first, long end) {
        long now = context.scheduler().nanoTime();
        if (end != seenEnd) {
            seenEnd = end;
            seenAtNanos = now;
        }
        boolean due = first == end || now - seenAtNanos >= period.toNanos();
        if (!due || writing || !feed.started() || feed.logDown() || config.appliedOffset() < 0) {
            return false;
        }
        writing = true;
        return true;
    }

    private void append(List<byte[]> parts, int part) {
        log.append(SnapshotStore.STREAM, parts.get(part)).whenComplete((offset, failure) -> {
            if (failure == null && part + 1 < parts.size()) {
                context.scheduler().schedule(PART_PAUSE, () -> append(parts, part + 1));
                return;
            }
            finished();
            if (failure == null) {
                context.events().record(EventCode.SNAPSHOT_WRITTEN, SnapshotStore.STREAM, parts.size() + " parts");
            }
        });
    }

    private synchronized void finished() {
        writing = false;
    }
}
