package org.quetzalvane.adapters.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.time.Duration;

import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.quetzalvane.core.time.Scheduler;

/**
 * Detects that a client closes its HTTP/1.1 connection before its response is complete.
 *
 * <p>Jetty does not read the connection between the end of a request and its response, so this class polls the
 * connection for its end. If the client sends its next request early, the poll has consumed the first byte: monitoring
 * stops, and the connection is closed after the response. Invariant: the connection is never read after
 * {@link #stop()}. Thread-safe; its monitor is a leaf lock and is not held while the action runs.
 */
final class DisconnectMonitor {
    private static final Duration POLL_INTERVAL = Duration.ofMillis(250);

    private final EndPoint endPoint;
    private final Runnable action;
    private final Runnable onEarlyRequest;
    private boolean stopped;
    private Scheduler.Timer timer = () -> {};

    DisconnectMonitor(EndPoint endPoint, Runnable action, Runnable onEarlyRequest) {
        this.endPoint = endPoint;
        this.action = action;
        this.onEarlyRequest = onEarlyRequest;
    }

    synchronized DisconnectMonitor start(Scheduler scheduler) {
        timer = scheduler.repeat(POLL_INTERVAL, this::poll);
        return this;
    }

    synchronized void stop() {
        stopped = true;
        timer.cancel();
    }

    private void poll() {
        if (detectsEndOfStream()) {
            action.run();
        }
    }

    private synchronized boolean detectsEndOfStream() {
        if (stopped) {
            return false;
        }
        int bytesRead = readByte();
        if (bytesRead > 0) {
            onEarlyRequest.run();
        }
        if (bytesRead != 0) {
            stop();
        }
        return bytesRead < 0;
    }

    private int readByte() {
        ByteBuffer buffer = BufferUtil.allocate(1);
        try {
            return endPoint.fill(buffer);
        } catch (IOException e) {
            return -1;
        }
    }
}
