package org.quetzalvane.adapters.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.time.Duration;

import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.quetzalvane.core.time.Scheduler;

/**
 * Notices that a caller closed its HTTP/1.1 connection while its answer is under way.
 *
 * <p>Nothing reads the connection between a request's end and its answer, so the end of the stream has to be looked
 * for. A caller that sends its next request early is no longer watched, and its connection is closed after the answer.
 * Invariant: the connection is never read after {@link #stop()}. Thread-safe; its monitor is a leaf and is not held
 * while the action runs.
 */
final class GoneWatch {
    private static final Duration PERIOD = Duration.ofMillis(250);

    private final EndPoint endPoint;
    private final Runnable action;
    private final Runnable onEarlyRequest;
    private boolean over;
    private Scheduler.Timer timer = () -> {};

    GoneWatch(EndPoint endPoint, Runnable action, Runnable onEarlyRequest) {
        this.endPoint = endPoint;
        this.action = action;
        this.onEarlyRequest = onEarlyRequest;
    }

    synchronized GoneWatch start(Scheduler scheduler) {
        timer = scheduler.repeat(PERIOD, this::check);
        return this;
    }

    synchronized void stop() {
        over = true;
        timer.cancel();
    }

    private void check() {
        if (readsEnd()) {
            action.run();
        }
    }

    private synchronized boolean readsEnd() {
        if (over) {
            return false;
        }
        int read = read();
        if (read > 0) {
            onEarlyRequest.run();
        }
        if (read != 0) {
            stop();
        }
        return read < 0;
    }

    private int read() {
        ByteBuffer one = BufferUtil.allocate(1);
        try {
            return endPoint.fill(one);
        } catch (IOException e) {
            return -1;
        }
    }
}
