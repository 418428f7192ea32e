package org.quetzalvane.transport;

import io.netty.channel.Channel;
import io.netty.channel.nio.AbstractNioChannel;

/**
 * What the client of one accepted connection does: when it sent bytes last, whether it reads responses, and whether it
 * has closed the connection. Confined to the event loop.
 */
final class ClientActivity {
    /** Checks in a row without progress after which a client counts as not reading. */
    private static final int MAX_STALLED_CHECKS = 2;

    /** Reads of the socket, of at most 1 MiB each, after which a client that still sends counts as present. */
    private static final int MAX_READS_AHEAD = 4;

    /** Time after a look at the connection within which it is not looked at again, ns. */
    private static final long LOOK_INTERVAL_NANOS = 10_000_000;

    private long reads;
    private long lastReadNanos;
    private long lastLookNanos;
    private boolean looked;
    private long lastUnsentBytes;
    private int stalledChecks;

    /** Bytes of the client were read. */
    void bytesRead(long nowNanos) {
        reads++;
        lastReadNanos = nowNanos;
    }

    /** Time at which bytes of the client were read last, ns. */
    long lastReadNanos() {
        return lastReadNanos;
    }

    /** Whether the client has read something of its responses at one of the last {@link #MAX_STALLED_CHECKS} calls. */
    boolean readsResponses(long unsentBytes) {
        stalledChecks = unsentBytes == lastUnsentBytes ? stalledChecks + 1 : 0;
        lastUnsentBytes = unsentBytes;
        return stalledChecks < MAX_STALLED_CHECKS;
    }

    /**
     * Reads what has arrived, and returns whether the connection is open. The event loop may have been held up since it
     * read last, and a close lies behind the bytes that were sent before it. Not to be called while the connection is
     * being read.
     */
    boolean isPresent(Channel connection, long nowNanos) {
        if (looked && nowNanos - lastLookNanos < LOOK_INTERVAL_NANOS) {
            return connection.isActive();
        }
        looked = true;
        lastLookNanos = nowNanos;
        AbstractNioChannel.NioUnsafe socket = (AbstractNioChannel.NioUnsafe) connection.unsafe();
        long readsBefore = -1;
        for (int i = 0; i < MAX_READS_AHEAD && reads > readsBefore && connection.isActive(); i++) {
            readsBefore = reads;
            socket.read();
        }
        return connection.isActive();
    }
}
