package org.quetzalvane.core.model;

/**
 * A data centre and the region it lies in. Immutable.
 *
 * @param region name of the region
 * @param name unique name
 */
public record DataCentre(String region, String name) {

    @Override
    public String toString() {
        return region + "/" + name;
    }
}
