package org.quetzalvane.core.model;

/**
 * A data centre in a region. Immutable.
 *
 * @param region name of the region
 * @param name name of the data centre
 */
public record DataCentre(String region, String name) {

    @Override
    public String toString() {
        return region + "/" + name;
    }
}
