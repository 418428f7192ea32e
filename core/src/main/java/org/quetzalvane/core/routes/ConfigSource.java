package org.quetzalvane.core.routes;

/**
 * Where a node has its configuration from, and how recent that is. Immutable.
 *
 * @param name the store, or the address of the hub that the node relies on
 * @param ageMs time since the store last answered that source, milliseconds
 */
public record ConfigSource(String name, long ageMs) {
    /** Source of a configuration that was not received over a network. */
    public static final ConfigSource LOCAL = new ConfigSource("local", 0);
}
