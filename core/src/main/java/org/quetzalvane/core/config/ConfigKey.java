package org.quetzalvane.core.config;

import org.quetzalvane.core.model.ConfigObject;

/**
 * Identifies a configuration object by kind and name. Immutable.
 *
 * @param kind kind of the object
 * @param name name, unique within the kind
 */
public record ConfigKey(ConfigObject.Kind kind, String name) {

    @Override
    public String toString() {
        return kind.label() + "/" + name;
    }
}
