package org.quetzalvane.core.model;

/**
 * Limits of adapter loads from the weight store, shared by all nodes of a region. Immutable.
 *
 * @param name name of the region to which the limits apply
 * @param loadsPerSecond rate of loads that the weight store permits
 * @param maxInFlight number of concurrent loads above which the weight store slows down all of them
 */
public record LoadLimits(String name, double loadsPerSecond, int maxInFlight) implements ConfigObject {

    @Override
    public Kind kind() {
        return Kind.LOAD_LIMITS;
    }
}
