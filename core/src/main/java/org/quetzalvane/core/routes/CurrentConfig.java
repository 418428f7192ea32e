package org.quetzalvane.core.routes;

import java.util.Optional;
import java.util.function.Supplier;

/**
 * The configuration in force on this node. The version in force never decreases while the process runs. Confined to the
 * event loop.
 */
public final class CurrentConfig {
    private final Supplier<ConfigSource> source;
    private ServingConfig current;

    /** Creates the state before the first configuration, which does not come over a network. */
    public CurrentConfig() {
        this(() -> ConfigSource.LOCAL);
    }

    /**
     * Creates the state before the first configuration.
     *
     * @param source where this node has its configuration from at present
     */
    public CurrentConfig(Supplier<ConfigSource> source) {
        this.source = source;
    }

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

    /** Where this node has its configuration from at present. */
    public ConfigSource source() {
        return source.get();
    }

    /** Limits of the configuration in force, or {@link IngressLimits#DEFAULT} before the first one. */
    public IngressLimits limits() {
        return current == null ? IngressLimits.DEFAULT : current.limits();
    }
}
