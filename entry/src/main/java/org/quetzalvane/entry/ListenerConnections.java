package org.quetzalvane.entry;

import org.quetzalvane.core.limit.ConnectionCapacities;
import org.quetzalvane.core.limit.ConnectionTable;
import org.quetzalvane.platform.BootSettings;

/**
 * Connections of the clients of each listener of a node. Confined to the event loop.
 *
 * @param callers connections of callers
 * @param directory connections to the directory
 * @param readiness connections of readiness checks
 */
record ListenerConnections(ConnectionTable callers, ConnectionTable directory, ConnectionTable readiness) {
    /** Descriptors of a process whose limit neither the settings nor the operating system states. */
    private static final int DEFAULT_DESCRIPTORS = 4_096;

    /** Empty tables for the descriptors that the settings state, or else those that the operating system allows. */
    static ListenerConnections of(BootSettings settings) {
        int descriptors =
                settings.descriptors() > 0 ? settings.descriptors() : ProcessLimits.openFiles(DEFAULT_DESCRIPTORS);
        ConnectionCapacities c = ConnectionCapacities.of(descriptors);
        return new ListenerConnections(
                new ConnectionTable(c.callers()),
                new ConnectionTable(c.directory()),
                new ConnectionTable(c.readiness()));
    }
}
