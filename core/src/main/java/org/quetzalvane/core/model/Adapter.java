package org.quetzalvane.core.model;

/**
 * A LoRA adapter over a base model. Immutable.
 *
 * @param name unique name
 * @param baseModel the base model it was trained on
 */
public record Adapter(String name, String baseModel) implements ConfigObject {

    @Override
    public Kind kind() {
        return Kind.ADAPTER;
    }
}
