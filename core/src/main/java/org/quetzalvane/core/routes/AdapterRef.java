package org.quetzalvane.core.routes;

/**
 * An adapter of a base model, without its version. Immutable.
 *
 * @param model name of the base model
 * @param adapter name of the adapter, or empty for the base model itself
 */
public record AdapterRef(String model, String adapter) {

    @Override
    public String toString() {
        return model + "/" + adapter;
    }
}
