package org.quetzalvane.core.model;

/**
 * An adapter and one of its versions. Immutable.
 *
 * @param adapter name of the adapter
 * @param version version number
 */
public record AdapterVersion(String adapter, int version) implements Comparable<AdapterVersion> {

    @Override
    public int compareTo(AdapterVersion other) {
        int byName = adapter.compareTo(other.adapter);
        return byName != 0 ? byName : Integer.compare(version, other.version);
    }

    @Override
    public String toString() {
        return adapter + "@" + version;
    }
}
