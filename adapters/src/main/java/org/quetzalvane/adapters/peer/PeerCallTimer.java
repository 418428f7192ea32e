package org.quetzalvane.adapters.peer;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

import org.quetzalvane.core.ResultCode;
import org.quetzalvane.core.exc.QuetzalvaneException;
import org.quetzalvane.core.peer.PeerMessage;
import org.quetzalvane.core.time.Scheduler;

/**
 * Fails a peer call that makes no progress within a timeout.
 *
 * <p>Also closes the connection if no frame of any call was read from the connection since the last progress of the
 * call. Thread-safe.
 */
final class PeerCallTimer {
    private final Scheduler scheduler;
    private final Duration timeout;
    private final PeerConnection connection;
    private final CompletableFuture<PeerMessage> result;
    private volatile long lastProgressNanos;
    private volatile long framesAtLastProgress;
    private volatile Scheduler.Timer timer = () -> {};

    PeerCallTimer(
            Scheduler scheduler, Duration timeout, PeerConnection connection, CompletableFuture<PeerMessage> result) {
        this.scheduler = scheduler;
        this.timeout = timeout;
        this.connection = connection;
        this.result = result;
    }

    /** Starts the timer. */
    void start() {
        recordProgress();
        timer = scheduler.schedule(timeout, this::check);
    }

    /** Restarts the timeout when a frame of the reply has arrived. */
    void recordProgress() {
        lastProgressNanos = scheduler.nanoTime();
        framesAtLastProgress = connection.framesRead();
    }

    void cancel() {
        timer.cancel();
    }

    private void check() {
        if (result.isDone()) {
            return;
        }
        long remainingNanos = timeout.toNanos() - (scheduler.nanoTime() - lastProgressNanos);
        if (remainingNanos > 0) {
            timer = scheduler.schedule(Duration.ofNanos(remainingNanos), this::check);
            return;
        }
        result.completeExceptionally(
                new QuetzalvaneException(ResultCode.OUTCOME_UNKNOWN, "no frame of the reply for " + timeout));
        if (connection.framesRead() == framesAtLastProgress) {
            connection.close();
        }
    }
}
