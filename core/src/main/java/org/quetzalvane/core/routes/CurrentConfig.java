package org.quetzalvane.core.routes;

import java.util.Optional;
import java.util.function.Supplier;

/**
 * The configuration in force on this node. The version in force never decreases while the process runs. Confined to the
 * event loop.
 */
public final class CurrentConfig {
    private final Supplier<ConfigSource> source;
    private final long maxAgeMs;
    private ServingConfig current;

    /** Creates the state before the first configuration, which does not come over a network. */
    public CurrentConfig() {
        this(() -> ConfigSource.LOCAL, Long.MAX_VALUE);
    }

    /**
     * Creates the state before the first configuration.
     *
     * @param source where this node has its configuration from at present
     * @param maxAgeMs time since the source heard from the store up to which a change would be known, ms
     */
    public CurrentConfig(Supplier<ConfigSource> source, long maxAgeMs) {
        this.source = source;
        this.maxAgeMs = maxAgeMs;
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

    /**
     * Whether a newer configuration may have to be in force already, so that what the known one lacks may exist all the
     * same.
     */
    public boolean mayBeOutOfDate() {
        return source().ageMs() > maxAgeMs;
    }

    /** Limits of the configuration in force, or {@link IngressLimits#DEFAULT} before the first one. */
    public IngressLimits limits() {
        return current == null ? IngressLimits.DEFAULT : current.limits();
    }
}
