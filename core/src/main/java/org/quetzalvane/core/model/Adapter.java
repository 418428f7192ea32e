package org.quetzalvane.core.model;

/**
 * A LoRA adapter for a base model. Immutable.
 *
 * @param name unique name
 * @param baseModel name of the base model on which the adapter was trained
 */
public record Adapter(String name, String baseModel) implements ConfigObject {

    @Override
    public Kind kind() {
        return Kind.ADAPTER;
    }
}
