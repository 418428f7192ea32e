package org.quetzalvane.transport;

import java.util.Arrays;

import io.netty.buffer.ByteBuf;
import org.quetzalvane.core.limit.MemoryAccount;

/**
 * Body of a request that is being read, charged to the account of the node's memory before it is stored. Confined to
 * the event loop.
 */
final class RequestBody {
    private static final int MIN_BYTES = 1_024;

    private final MemoryAccount.Holding holding;
    private byte[] bytes = new byte[0];
    private int size;

    RequestBody(MemoryAccount.Holding holding) {
        this.holding = holding;
    }

    /** Reserves room for a body of a known length; returns false if it cannot be held. */
    boolean reserve(int length) {
        if (length > bytes.length) {
            if (!holding.tryHold(length)) {
                return false;
            }
            bytes = Arrays.copyOf(bytes, length);
        }
        return true;
    }

    /** Adds a chunk; returns false if it cannot be held. */
    boolean add(ByteBuf chunk) {
        int length = chunk.readableBytes();
        if (size + length > bytes.length && !reserve(Math.max(MIN_BYTES, Math.max(size + length, 2 * bytes.length)))) {
            return false;
        }
        chunk.getBytes(chunk.readerIndex(), bytes, size, length);
        size += length;
        return true;
    }

    int size() {
        return size;
    }

    /** The complete body. */
    byte[] complete() {
        if (size < bytes.length) {
            bytes = Arrays.copyOf(bytes, size);
            holding.hold(size);
        }
        return bytes;
    }

    /** Gives the memory back to the account, once nothing uses the body any more. */
    void close() {
        bytes = new byte[0];
        holding.close();
    }
}
