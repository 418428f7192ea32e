package org.quetzalvane.core.log;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

import org.quetzalvane.core.event.EventCode;
import org.quetzalvane.core.event.EventLog;
import org.quetzalvane.core.exc.LogExpiredException;
import org.quetzalvane.core.port.LogBatch;
import org.quetzalvane.core.port.LogPort;
import org.quetzalvane.core.time.Scheduler;

/**
 * Follows one stream of the log and hands every record, in order and once, to a consumer.
 *
 * <p>Outages are ridden out by reading again after a pause. Where records expired before they were read, the gap
 * handler says where to read on; without one the gap is skipped with an event. Thread-safe; the consumer is called from
 * one thread at a time.
 */
public final class LogFollower {
    private static final int BATCH_RECORDS = 1000;
    private static final Duration FAILURE_PAUSE = Duration.ofMillis(500);

    private final LogPort port;
    private final String stream;
    private final Scheduler scheduler;
    private final Duration pollPause;
    private final EventLog events;
    private final RecordConsumer consumer;
    private final GapHandler gaps;
    private volatile long next;
    private volatile long knownEnd = -1;
    private volatile boolean down;
    private volatile boolean stopped;

    /** Takes a record at an offset. */
    @FunctionalInterface
    public interface RecordConsumer {
        void accept(long offset, byte[] data);
    }

    /** Makes up for records that expired before they were read. */
    @FunctionalInterface
    public interface GapHandler {
        /**
         * Makes up for the records before an offset.
         *
         * @param first first offset still kept
         * @return where to read on; a failure lets the follower ask again after a pause
         */
        CompletableFuture<Long> resumeOffset(long first);
    }

    /** Builds a follower that reads again {@code pollPause} after it found nothing new. */
    public LogFollower(
            LogPort port,
            String stream,
            Scheduler scheduler,
            Duration pollPause,
            EventLog events,
            RecordConsumer consumer) {
        this(port, stream, scheduler, pollPause, events, consumer, CompletableFuture::completedFuture);
    }

    /** Builds a follower that lets a handler make up for expired records. */
    public LogFollower(
            LogPort port,
            String stream,
            Scheduler scheduler,
            Duration pollPause,
            EventLog events,
            RecordConsumer consumer,
            GapHandler gaps) {
        this.gaps = gaps;
        this.port = port;
        this.stream = stream;
        this.scheduler = scheduler;
        this.pollPause = pollPause;
        this.events = events;
        this.consumer = consumer;
    }

    /** Starts reading at an offset. */
    public void start(long from) {
        next = from;
        poll();
    }

    public void stop() {
        stopped = true;
    }

    /** Whether everything the log held at the last successful read has been consumed. */
    public boolean caughtUp() {
        return knownEnd >= 0 && next >= knownEnd;
    }

    /** Records that the log held at the last successful read and that are not consumed yet; -1 before that read. */
    public long lag() {
        return knownEnd < 0 ? -1 : Math.max(0, knownEnd - next);
    }

    /** Whether the last read failed. */
    public boolean down() {
        return down;
    }

    private void poll() {
        if (!stopped) {
            port.read(stream, next, BATCH_RECORDS).whenComplete(this::onBatch);
        }
    }

    private void onBatch(LogBatch batch, Throwable failure) {
        if (failure != null) {
            onFailure(failure);
            return;
        }
        if (down) {
            down = false;
            events.record(EventCode.LOG_UP, stream, "");
        }
        for (LogBatch.LogRecord r : batch.records()) {
            consume(r);
        }
        knownEnd = batch.end();
        boolean more = next < batch.end() && !batch.records().isEmpty();
        scheduler.schedule(more ? Duration.ZERO : pollPause, this::poll);
    }

    private void consume(LogBatch.LogRecord r) {
        if (r.offset() < next) {
            return;
        }
        try {
            consumer.accept(r.offset(), r.data());
        } catch (RuntimeException e) {
            events.record(EventCode.TASK_FAILED, stream, "record " + r.offset() + ": " + e);
        }
        next = r.offset() + 1;
    }

    private void onFailure(Throwable failure) {
        Throwable cause = failure.getCause() == null ? failure : failure.getCause();
        if (cause instanceof LogExpiredException) {
            bridge(((LogExpiredException) cause).firstOffset());
            return;
        }
        if (!down) {
            down = true;
            events.record(EventCode.LOG_DOWN, stream, String.valueOf(cause.getMessage()));
        }
        scheduler.schedule(FAILURE_PAUSE, this::poll);
    }

    private void bridge(long first) {
        events.record(EventCode.LOG_GAP, stream, "from " + next + " to " + first);
        gaps.resumeOffset(first).whenComplete((offset, failure) -> {
            if (failure == null) {
                next = Math.max(next + 1, offset);
                scheduler.schedule(Duration.ZERO, this::poll);
            } else {
                scheduler.schedule(FAILURE_PAUSE, this::poll);
            }
        });
    }
}
