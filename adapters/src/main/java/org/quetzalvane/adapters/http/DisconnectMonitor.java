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
 * <p>Jetty does not read a connection between the end of a request and its response, so this class reads one byte every
 * 250 ms; the end of the stream or a read error counts as a disconnect. A byte that was read belongs to the next
 * request, which the client sent early: monitoring stops, and {@code onEarlyRequest} has the connection closed after
 * the response if the response is not yet committed. Invariant: the connection is never read after {@link #stop()}.
 *
 * <p>Thread-safe: synchronized on this object. {@code onDisconnect} runs without the lock and {@code onEarlyRequest}
 * with it; no other lock of this project is acquired under it.
 */
final class DisconnectMonitor {
    private static final Duration POLL_INTERVAL = Duration.ofMillis(250);

    private final EndPoint endPoint;
    private final Runnable onDisconnect;
    private final Runnable onEarlyRequest;
    private boolean stopped;
    private Scheduler.Timer timer = () -> {};

    DisconnectMonitor(EndPoint endPoint, Runnable onDisconnect, Runnable onEarlyRequest) {
        this.endPoint = endPoint;
        this.onDisconnect = onDisconnect;
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
            onDisconnect.run();
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
