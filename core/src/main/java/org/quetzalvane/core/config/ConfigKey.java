package org.quetzalvane.core.config;

import org.quetzalvane.core.model.ConfigObject;

/**
 * Identity of a configuration object. Immutable.
 *
 * @param kind kind of the object
 * @param name unique name
 */
public record ConfigKey(ConfigObject.Kind kind, String name) {

    @Override
    public String toString() {
        return kind.word() + "/" + name;
    }
}
