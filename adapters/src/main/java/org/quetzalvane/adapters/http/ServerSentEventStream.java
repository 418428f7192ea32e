package org.quetzalvane.adapters.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;

import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * Server-sent events written without blocking.
 *
 * <p>Invariant: at most the given number of bytes wait for a slow reader; a reader that falls further behind counts
 * as gone. Thread-safe; its monitor is a leaf and is not held while writing.
 */
public final class ServerSentEventStream {
    private final Response response;
    private final Callback callback;
    private final int bufferLimitBytes;
    private final Runnable gone;
    private final Runnable closing;
    private final Deque<byte[]> pending = new ArrayDeque<>();
    private int pendingBytes;
    private boolean writing;
    private boolean ending;
    private boolean over;

    ServerSentEventStream(Response response, Callback callback, int bufferLimitBytes, Runnable gone, Runnable closing) {
        this.response = response;
        this.callback = callback;
        this.bufferLimitBytes = bufferLimitBytes;
        this.gone = gone;
        this.closing = closing;
    }

    /** Sends one event with a JSON value. */
    public void send(Object value) {
        write("data: " + Json.text(value) + "\n\n");
    }

    /** Sends a comment, which readers of events skip: a sign of life. */
    public void sendComment(String text) {
        write(": " + text + "\n\n");
    }

    private void write(String text) {
        byte[] frame = text.getBytes(StandardCharsets.UTF_8);
        boolean overrun;
        synchronized (this) {
            if (over || ending) {
                return;
            }
            pending.add(frame);
            pendingBytes += frame.length;
            overrun = pendingBytes > bufferLimitBytes;
        }
        if (overrun) {
            broken(new java.io.IOException("the reader is too slow"));
        } else {
            writeNext();
        }
    }

    /** Ends the stream after everything sent so far. */
    public void end() {
        synchronized (this) {
            ending = true;
        }
        writeNext();
    }

    /** Breaks the connection off, so that the reader cannot take what it has for the whole. */
    public void abort() {
        synchronized (this) {
            if (over) {
                return;
            }
            over = true;
        }
        closing.run();
        callback.failed(new java.io.IOException("aborted"));
    }

    private void writeNext() {
        ByteBuffer chunk;
        boolean last;
        synchronized (this) {
            if (writing || over || pending.isEmpty() && !ending) {
                return;
            }
            byte[] frame = pending.poll();
            chunk = frame == null ? ByteBuffer.allocate(0) : ByteBuffer.wrap(frame);
            pendingBytes -= chunk.remaining();
            last = ending && pending.isEmpty();
            writing = true;
            over = last;
        }
        if (last) {
            closing.run();
        }
        response.write(last, chunk, last ? callback : Callback.from(this::written, this::broken));
    }

    private void written() {
        synchronized (this) {
            writing = false;
        }
        writeNext();
    }

    private void broken(Throwable failure) {
        synchronized (this) {
            if (over) {
                return;
            }
            over = true;
            pending.clear();
        }
        closing.run();
        callback.failed(failure);
        gone.run();
    }
}
