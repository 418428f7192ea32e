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

    private ByteArrayOutputStream buffered = new ByteArrayOutputStream();
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
        return buffered.toByteArray();
    }

    /** Ends the buffering; further chunks are not stored. */
    void markFlushed() {
        flushed = true;
        buffered = null;
    }

    boolean flushed() {
        return flushed;
    }

    /** Most bytes of memory that the buffered body occupies; the buffer grows by doubling. */
    long heldBytes() {
        return 2L * buffered.size();
    }

    /** The buffered body; empty once it has been flushed. */
    byte[] content() {
        return flushed ? new byte[0] : buffered.toByteArray();
    }
}
