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
 * Reads a stream of the log and passes its records to a consumer in offset order, each at most once.
 *
 * <p>A failed read is retried after a delay. A record on which the consumer fails is skipped and recorded as an event.
 * When records expired before they were read, the gap handler determines where reading resumes; without a handler the
 * gap is skipped. Either way an event is recorded. Thread-safe; the
 * consumer is called by one thread at a time.
 */
public final class LogFollower {
    private static final int BATCH_RECORDS = 1000;
    private static final Duration RETRY_DELAY = Duration.ofMillis(500);

    private final LogPort port;
    private final String stream;
    private final Scheduler scheduler;
    private final Duration pollInterval;
    private final EventLog events;
    private final RecordConsumer consumer;
    private final GapHandler gapHandler;
    private volatile long nextOffset;
    private volatile long endOffset = -1;
    private volatile boolean logDown;
    private volatile boolean stopped;

    /** Receives the records of a stream. */
    @FunctionalInterface
    public interface RecordConsumer {
        void accept(long offset, byte[] data);
    }

    /** Handles records that expired before they were read. */
    @FunctionalInterface
    public interface GapHandler {
        /**
         * Brings the state of the consumer to a later offset without the expired records, such as from a snapshot.
         *
         * @param firstOffset first offset that is still available
         * @return the offset at which to resume; after a failure the follower reads again after a delay
         */
        CompletableFuture<Long> resumeOffset(long firstOffset);
    }

    /**
     * Creates a follower that skips expired records. It waits {@code pollInterval} after a read that reached the end.
     */
    public LogFollower(
            LogPort port,
            String stream,
            Scheduler scheduler,
            Duration pollInterval,
            EventLog events,
            RecordConsumer consumer) {
        this(port, stream, scheduler, pollInterval, events, consumer, CompletableFuture::completedFuture);
    }

    /** Creates a follower with a handler for expired records. */
    public LogFollower(
            LogPort port,
            String stream,
            Scheduler scheduler,
            Duration pollInterval,
            EventLog events,
            RecordConsumer consumer,
            GapHandler gapHandler) {
        this.gapHandler = gapHandler;
        this.port = port;
        this.stream = stream;
        this.scheduler = scheduler;
        this.pollInterval = pollInterval;
        this.events = events;
        this.consumer = consumer;
    }

    /** Starts reading at an offset. */
    public void start(long from) {
        nextOffset = from;
        poll();
    }

    public void stop() {
        stopped = true;
    }

    /** Whether all records that the stream had at the last successful read have been consumed. */
    public boolean caughtUp() {
        return endOffset >= 0 && nextOffset >= endOffset;
    }

    /** Number of records of the stream at the last successful read that were not consumed yet; -1 before the first. */
    public long lag() {
        return endOffset < 0 ? -1 : Math.max(0, endOffset - nextOffset);
    }

    /** Whether the last read failed for another reason than expired records. */
    public boolean isLogDown() {
        return logDown;
    }

    private void poll() {
        if (!stopped) {
            port.read(stream, nextOffset, BATCH_RECORDS).whenComplete(this::onBatch);
        }
    }

    private void onBatch(LogBatch batch, Throwable failure) {
        if (failure != null) {
            onFailure(failure);
            return;
        }
        if (logDown) {
            logDown = false;
            events.record(EventCode.LOG_UP, stream, "");
        }
        for (LogBatch.LogRecord r : batch.records()) {
            consume(r);
        }
        endOffset = batch.end();
        boolean more = nextOffset < batch.end() && !batch.records().isEmpty();
        scheduler.schedule(more ? Duration.ZERO : pollInterval, this::poll);
    }

    private void consume(LogBatch.LogRecord r) {
        if (r.offset() < nextOffset) {
            return;
        }
        try {
            consumer.accept(r.offset(), r.data());
        } catch (RuntimeException e) {
            events.record(EventCode.TASK_FAILED, stream, "record " + r.offset() + ": " + e);
        }
        nextOffset = r.offset() + 1;
    }

    private void onFailure(Throwable failure) {
        Throwable cause = failure.getCause() == null ? failure : failure.getCause();
        if (cause instanceof LogExpiredException) {
            resumeAfterGap(((LogExpiredException) cause).firstOffset());
            return;
        }
        if (!logDown) {
            logDown = true;
            events.record(EventCode.LOG_DOWN, stream, String.valueOf(cause.getMessage()));
        }
        scheduler.schedule(RETRY_DELAY, this::poll);
    }

    private void resumeAfterGap(long first) {
        events.record(EventCode.LOG_GAP, stream, "from " + nextOffset + " to " + first);
        gapHandler.resumeOffset(first).whenComplete((offset, failure) -> {
            if (failure == null) {
                nextOffset = Math.max(nextOffset + 1, offset);
                scheduler.schedule(Duration.ZERO, this::poll);
            } else {
                scheduler.schedule(RETRY_DELAY, this::poll);
            }
        });
    }
}
