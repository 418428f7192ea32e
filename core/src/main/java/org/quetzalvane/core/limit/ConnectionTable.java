package org.quetzalvane.core.limit;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The connections of clients to one listener, of which there are at most a fixed number, so that they leave descriptors
 * to the other listeners and to the connections that the node makes itself.
 *
 * <p>Load pattern: clients that open very many connections and then send nothing, or stop within a request. A new
 * connection takes the place of one that waits for its client: first of one that has not brought a whole request yet,
 * then of one that is idle between requests; of these, the one whose last bytes are oldest. A connection with a request
 * in progress keeps its place; if all are such, the new one is refused.
 *
 * <p>Invariant: no more entries are open than the capacity. Confined to the event loop.
 */
public final class ConnectionTable {
    private final int capacity;
    /** Connections that have not brought a whole request, those with the oldest bytes first. */
    private final Set<Entry> withoutRequest = new LinkedHashSet<>();
    /** Idle connections, those with the oldest bytes first. */
    private final Set<Entry> idle = new LinkedHashSet<>();

    private int open;
    private long refused;
    private long displaced;

    /** Creates an empty table for at most {@code capacity} connections. */
    public ConnectionTable(int capacity) {
        this.capacity = capacity;
    }

    /** Creates a table without a limit. */
    public static ConnectionTable unlimited() {
        return new ConnectionTable(Integer.MAX_VALUE);
    }

    /**
     * Adds a connection that was just accepted, and closes another one if there is no room for both.
     *
     * @param close closes the connection; called at most once, after the entry was removed
     * @return the entry, or null if there is no room
     */
    public Entry add(Runnable close) {
        if (open >= capacity && !displaceOne()) {
            refused++;
            return null;
        }
        return new Entry(close);
    }

    private boolean displaceOne() {
        Iterator<Entry> oldest = (withoutRequest.isEmpty() ? idle : withoutRequest).iterator();
        if (!oldest.hasNext()) {
            return false;
        }
        Entry e = oldest.next();
        displaced++;
        e.remove();
        e.close.run();
        return true;
    }

    /** Number of open connections. */
    public int open() {
        return open;
    }

    /** Number of connections that were refused since the start. */
    public long refused() {
        return refused;
    }

    /** Number of connections that were closed to make room since the start. */
    public long displaced() {
        return displaced;
    }

    /** One connection. Confined to the event loop. */
    public final class Entry {
        private final Runnable close;
        private boolean removed;
        private boolean busy;
        private boolean broughtRequest;

        private Entry(Runnable close) {
            this.close = close;
            open++;
            withoutRequest.add(this);
        }

        /** Bytes of the client have arrived. */
        public void bytesArrived() {
            if (!busy && !removed) {
                Set<Entry> in = waiting();
                in.remove(this);
                in.add(this);
            }
        }

        /** A request is whole; the connection keeps its place until {@link #requestsDone}. */
        public void requestArrived() {
            if (!busy && !removed) {
                waiting().remove(this);
                busy = true;
                broughtRequest = true;
            }
        }

        /** All requests that were whole have been answered, and their responses were sent. */
        public void requestsDone() {
            if (busy && !removed) {
                busy = false;
                idle.add(this);
            }
        }

        /** The connection has ended. */
        public void remove() {
            if (!removed) {
                removed = true;
                waiting().remove(this);
                open--;
            }
        }

        private Set<Entry> waiting() {
            return broughtRequest ? idle : withoutRequest;
        }
    }
}
