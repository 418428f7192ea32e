package org.quetzalvane.adapters.http;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.ToLongFunction;

import org.eclipse.jetty.io.Connection;

/** Counts the bytes sent and received on the connections of an HTTP client, headers included. Thread-safe. */
public final class ConnectionByteCounter implements Connection.Listener {
    private final Set<Connection> openConnections = ConcurrentHashMap.newKeySet();
    private final LongAdder sentByClosed = new LongAdder();
    private final LongAdder receivedByClosed = new LongAdder();

    @Override
    public void onOpened(Connection connection) {
        openConnections.add(connection);
    }

    @Override
    public void onClosed(Connection connection) {
        if (openConnections.remove(connection)) {
            sentByClosed.add(connection.getBytesOut());
            receivedByClosed.add(connection.getBytesIn());
        }
    }

    public long sent() {
        return sentByClosed.sum() + sumOverOpen(Connection::getBytesOut);
    }

    public long received() {
        return receivedByClosed.sum() + sumOverOpen(Connection::getBytesIn);
    }

    private long sumOverOpen(ToLongFunction<Connection> byteCount) {
        return openConnections.stream().mapToLong(byteCount).sum();
    }
}
