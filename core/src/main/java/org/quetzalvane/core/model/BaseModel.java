package org.quetzalvane.core.model;

/**
 * A base model, which engines run and for which adapters are trained. Immutable.
 *
 * @param name unique name
 */
public record BaseModel(String name) implements ConfigObject {

    @Override
    public Kind kind() {
        return Kind.BASE_MODEL;
    }
}
