package org.quetzalvane.core.model;

/**
 * One published version of an adapter. Immutable; the weights of a version number never change.
 *
 * @param adapter name of the adapter
 * @param version version number, from 1
 * @param weights reference to the weights in the weight store
 */
public record PublishedVersion(String adapter, int version, String weights) implements ConfigObject {

    @Override
    public String name() {
        return adapter + "@" + version;
    }

    @Override
    public Kind kind() {
        return Kind.VERSION;
    }

    public AdapterVersion adapterVersion() {
        return new AdapterVersion(adapter, version);
    }
}
