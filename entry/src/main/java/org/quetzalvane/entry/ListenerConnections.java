package org.quetzalvane.entry;

import org.quetzalvane.core.limit.ConnectionCapacities;
import org.quetzalvane.core.limit.ConnectionTable;

/**
 * Connections of the clients of each listener of a node. Confined to the event loop.
 *
 * @param callers connections of callers
 * @param directory connections to the directory
 * @param readiness connections of readiness checks
 */
record ListenerConnections(ConnectionTable callers, ConnectionTable directory, ConnectionTable readiness) {

    /** Empty tables of the given capacities. */
    static ListenerConnections of(ConnectionCapacities c) {
        return new ListenerConnections(
                new ConnectionTable(c.callers()),
                new ConnectionTable(c.directory()),
                new ConnectionTable(c.readiness()));
    }
}
