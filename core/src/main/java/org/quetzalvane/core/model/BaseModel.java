package org.quetzalvane.core.model;

/**
 * A base model that engines run and adapters build on. Immutable.
 *
 * @param name unique name
 */
public record BaseModel(String name) implements ConfigObject {

    @Override
    public Kind kind() {
        return Kind.BASE_MODEL;
    }
}
