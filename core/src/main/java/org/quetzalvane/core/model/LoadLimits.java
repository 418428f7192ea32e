package org.quetzalvane.core.model;

/**
 * Limits of the weight store, shared by all nodes. Immutable.
 *
 * @param name unique name; the limits of a region carry the region's name
 * @param loadsPerSecond loads a second that the store allows
 * @param maxInFlight loads in flight beyond which all slow down
 */
public record LoadLimits(String name, double loadsPerSecond, int maxInFlight) implements ConfigObject {

    @Override
    public Kind kind() {
        return Kind.LOAD_LIMITS;
    }
}
