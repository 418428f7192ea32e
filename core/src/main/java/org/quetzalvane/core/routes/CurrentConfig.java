package org.quetzalvane.core.routes;

import java.util.Optional;

/**
 * The configuration in force on this node. The version in force never decreases while the process runs. Confined to the
 * event loop.
 */
public final class CurrentConfig {
    private ServingConfig current;

    /** Puts a configuration in force unless the current one is as new; returns whether the configuration changed. */
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

    /** Limits of the configuration in force, or {@link IngressLimits#DEFAULT} before the first one. */
    public IngressLimits limits() {
        return current == null ? IngressLimits.DEFAULT : current.limits();
    }
}
