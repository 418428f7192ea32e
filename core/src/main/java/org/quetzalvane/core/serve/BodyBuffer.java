package org.quetzalvane.core.serve;

import java.io.ByteArrayOutputStream;

/**
 * Holds an answer back until it is whole, so that a broken one can be replaced; beyond {@link #MAX_BYTES} it flows.
 *
 * <p>Not thread-safe.
 */
final class BodyBuffer {
    /** Largest answer held back, bytes; plain services answer with less than 5 kB. */
    static final int MAX_BYTES = 64 * 1024;

    private final ByteArrayOutputStream held = new ByteArrayOutputStream();
    private boolean flushed;

    /** Takes a part; gives the bytes to pass on once the answer no longer fits, else null. */
    byte[] add(byte[] part) {
        if (flushed) {
            return part;
        }
        held.writeBytes(part);
        if (held.size() <= MAX_BYTES) {
            return null;
        }
        byte[] all = held.toByteArray();
        held.reset();
        return all;
    }

    void markFlushed() {
        flushed = true;
    }

    boolean flushed() {
        return flushed;
    }

    byte[] content() {
        return held.toByteArray();
    }
}
