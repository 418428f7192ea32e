package org.quetzalvane.adapters.http;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.ToLongFunction;

import org.eclipse.jetty.io.Connection;

/** Bytes that the connections of a client carried, headers included. Thread-safe. */
public final class ConnectionByteCounter implements Connection.Listener {
    private final Set<Connection> open = ConcurrentHashMap.newKeySet();
    private final LongAdder closedSent = new LongAdder();
    private final LongAdder closedReceived = new LongAdder();

    @Override
    public void onOpened(Connection connection) {
        open.add(connection);
    }

    @Override
    public void onClosed(Connection connection) {
        if (open.remove(connection)) {
            closedSent.add(connection.getBytesOut());
            closedReceived.add(connection.getBytesIn());
        }
    }

    public long sent() {
        return closedSent.sum() + sum(Connection::getBytesOut);
    }

    public long received() {
        return closedReceived.sum() + sum(Connection::getBytesIn);
    }

    private long sum(ToLongFunction<Connection> bytes) {
        return open.stream().mapToLong(bytes).sum();
    }
}
