package org.quetzalvane.core.model;

/**
 * One published version of an adapter. Immutable; its weights never change under the same number.
 *
 * @param adapter the adapter's name
 * @param version version number, from 1
 * @param weights reference of the weights in the weight store
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

    public AdapterVersion key() {
        return new AdapterVersion(adapter, version);
    }
}
