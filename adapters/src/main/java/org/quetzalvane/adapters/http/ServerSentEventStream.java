package org.quetzalvane.adapters.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;

import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * Writes server-sent events without blocking.
 *
 * <p>At most {@code bufferLimitBytes} bytes are queued for a slow client; an event beyond that fails the stream like a
 * failed write. Thread-safe: synchronized on this object; no other lock is acquired and nothing is written under that
 * lock.
 */
public final class ServerSentEventStream {
    private final Response response;
    private final Callback callback;
    private final int bufferLimitBytes;
    private final Runnable onWriteFailure;
    private final Runnable onFinish;
    private final Deque<byte[]> queuedEvents = new ArrayDeque<>();
    private int queuedBytes;
    private boolean writing;
    private boolean endRequested;
    private boolean finished;

    ServerSentEventStream(
            Response response, Callback callback, int bufferLimitBytes, Runnable onWriteFailure, Runnable onFinish) {
        this.response = response;
        this.callback = callback;
        this.bufferLimitBytes = bufferLimitBytes;
        this.onWriteFailure = onWriteFailure;
        this.onFinish = onFinish;
    }

    /** Sends one event whose data is a JSON value. */
    public void send(Object value) {
        write("data: " + Json.text(value) + "\n\n");
    }

    /** Sends a comment, which clients ignore, as a keep-alive. */
    public void sendComment(String text) {
        write(": " + text + "\n\n");
    }

    private void write(String text) {
        byte[] eventBytes = text.getBytes(StandardCharsets.UTF_8);
        boolean limitExceeded;
        synchronized (this) {
            if (finished || endRequested) {
                return;
            }
            queuedEvents.add(eventBytes);
            queuedBytes += eventBytes.length;
            limitExceeded = queuedBytes > bufferLimitBytes;
        }
        if (limitExceeded) {
            failStream(new java.io.IOException("client reads too slowly: the event queue exceeds its limit"));
        } else {
            writeNext();
        }
    }

    /** Ends the stream after all queued events. */
    public void end() {
        synchronized (this) {
            endRequested = true;
        }
        writeNext();
    }

    /** Aborts the response, so that the client cannot mistake the events received so far for a complete stream. */
    public void abort() {
        synchronized (this) {
            if (finished) {
                return;
            }
            finished = true;
        }
        onFinish.run();
        callback.failed(new java.io.IOException("aborted"));
    }

    private void writeNext() {
        ByteBuffer chunk;
        boolean last;
        synchronized (this) {
            if (writing || finished || queuedEvents.isEmpty() && !endRequested) {
                return;
            }
            byte[] eventBytes = queuedEvents.poll();
            chunk = eventBytes == null ? ByteBuffer.allocate(0) : ByteBuffer.wrap(eventBytes);
            queuedBytes -= chunk.remaining();
            last = endRequested && queuedEvents.isEmpty();
            writing = true;
            finished = last;
        }
        if (last) {
            onFinish.run();
        }
        response.write(last, chunk, last ? callback : Callback.from(this::onWritten, this::failStream));
    }

    private void onWritten() {
        synchronized (this) {
            writing = false;
        }
        writeNext();
    }

    private void failStream(Throwable failure) {
        synchronized (this) {
            if (finished) {
                return;
            }
            finished = true;
            queuedEvents.clear();
        }
        onFinish.run();
        callback.failed(failure);
        onWriteFailure.run();
    }
}
