package org.quetzalvane.adapters.peer;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

import org.quetzalvane.core.ResultCode;
import org.quetzalvane.core.exc.QuetzalvaneException;
import org.quetzalvane.core.peer.PeerMessage;
import org.quetzalvane.core.time.Scheduler;

/**
 * Ends a call that hears nothing within a timeout, and its connection when nothing at all arrived on it meanwhile.
 *
 * <p>Thread-safe.
 */
final class PeerCallWatch {
    private final Scheduler scheduler;
    private final Duration timeout;
    private final PeerConnection connection;
    private final CompletableFuture<PeerMessage> result;
    private volatile long lastNanos;
    private volatile long framesBefore;
    private volatile Scheduler.Timer timer = () -> {};

    PeerCallWatch(
            Scheduler scheduler, Duration timeout, PeerConnection connection, CompletableFuture<PeerMessage> result) {
        this.scheduler = scheduler;
        this.timeout = timeout;
        this.connection = connection;
        this.result = result;
    }

    void arm() {
        progress();
        timer = scheduler.schedule(timeout, this::check);
    }

    void progress() {
        lastNanos = scheduler.nanoTime();
        framesBefore = connection.framesRead();
    }

    void cancel() {
        timer.cancel();
    }

    private void check() {
        if (result.isDone()) {
            return;
        }
        long left = timeout.toNanos() - (scheduler.nanoTime() - lastNanos);
        if (left > 0) {
            timer = scheduler.schedule(Duration.ofNanos(left), this::check);
            return;
        }
        result.completeExceptionally(
                new QuetzalvaneException(ResultCode.OUTCOME_UNKNOWN, "the peer stayed silent for " + timeout));
        if (connection.framesRead() == framesBefore) {
            connection.close();
        }
    }
}
