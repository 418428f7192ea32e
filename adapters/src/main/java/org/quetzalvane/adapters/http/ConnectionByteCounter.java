package org.quetzalvane.adapters.http;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.ToLongFunction;

import org.eclipse.jetty.io.Connection;

/**
 * Counts the bytes sent and received on the connections of an HTTP client, headers included.
 *
 * <p>Totals may briefly decrease while a connection closes. Thread-safe.
 */
public final class ConnectionByteCounter implements Connection.Listener {
    private final Set<Connection> openConnections = ConcurrentHashMap.newKeySet();
    private final LongAdder closedSentBytes = new LongAdder();
    private final LongAdder closedReceivedBytes = new LongAdder();

    @Override
    public void onOpened(Connection connection) {
        openConnections.add(connection);
    }

    @Override
    public void onClosed(Connection connection) {
        if (openConnections.remove(connection)) {
            closedSentBytes.add(connection.getBytesOut());
            closedReceivedBytes.add(connection.getBytesIn());
        }
    }

    /** Returns the number of bytes sent on all connections, open or closed. */
    public long sentBytes() {
        return closedSentBytes.sum() + sumOverOpen(Connection::getBytesOut);
    }

    /** Returns the number of bytes received on all connections, open or closed. */
    public long receivedBytes() {
        return closedReceivedBytes.sum() + sumOverOpen(Connection::getBytesIn);
    }

    private long sumOverOpen(ToLongFunction<Connection> byteCount) {
        return openConnections.stream().mapToLong(byteCount).sum();
    }
}
