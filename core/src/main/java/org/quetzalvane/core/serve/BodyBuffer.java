package org.quetzalvane.core.serve;

import java.io.ByteArrayOutputStream;

/**
 * Buffers a response body until it is complete, so that an attempt that fails half-way can be retried. A body larger
 * than {@link #MAX_BYTES} is streamed instead.
 *
 * <p>Not thread-safe.
 */
final class BodyBuffer {
    /** Largest body that is buffered, bytes; plain services respond with less than 5 kB. */
    static final int MAX_BYTES = 64 * 1024;

    private final ByteArrayOutputStream buffered = new ByteArrayOutputStream();
    private boolean flushed;

    /**
     * Adds a chunk. Returns null while the body is buffered, and the whole buffered body once it exceeds the limit;
     * after that first non-null result the calling code must call {@link #markFlushed()}. Once flushed, each chunk is
     * returned as it is.
     */
    byte[] add(byte[] chunk) {
        if (flushed) {
            return chunk;
        }
        buffered.writeBytes(chunk);
        if (buffered.size() <= MAX_BYTES) {
            return null;
        }
        byte[] all = buffered.toByteArray();
        buffered.reset();
        return all;
    }

    /** Ends the buffering; further chunks are not stored. */
    void markFlushed() {
        flushed = true;
    }

    boolean flushed() {
        return flushed;
    }

    /** The buffered body; empty after {@link #add} has returned it. */
    byte[] content() {
        return buffered.toByteArray();
    }
}
