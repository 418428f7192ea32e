package org.quetzalvane.core.routes;

/**
 * An adapter of a base model, without its version. Immutable.
 *
 * @param model name of the base model
 * @param adapter name of the adapter, or empty for the base model itself
 */
public record AdapterRef(String model, String adapter) {
    /** Longest name, of model and adapter together, characters. */
    private static final int MAX_NAME_LENGTH = 256;

    /** Whether an adapter may have this name. */
    public boolean isValid() {
        return model.length() + adapter.length() <= MAX_NAME_LENGTH;
    }

    @Override
    public String toString() {
        return model + "/" + adapter;
    }
}
