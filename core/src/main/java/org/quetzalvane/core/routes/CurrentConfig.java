package org.quetzalvane.core.routes;

import java.util.Optional;

/**
 * The configuration in force on this node. It never moves back to an older version within one life of the process.
 * Confined to the event loop.
 */
public final class CurrentConfig {
    private ServingConfig current;

    /** Puts a configuration in force unless a newer or equal one is; tells whether it changed. */
    public boolean update(ServingConfig config) {
        if (current != null && config.version() <= current.version()) {
            return false;
        }
        current = config;
        return true;
    }

    public Optional<ServingConfig> current() {
        return Optional.ofNullable(current);
    }

    public IngressLimits limits() {
        return current == null ? IngressLimits.DEFAULT : current.limits();
    }
}
