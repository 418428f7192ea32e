package org.quetzalvane.core.config;

import org.quetzalvane.core.model.ConfigObject;

/**
 * A decoded configuration record, whatever schema version it was written in. Immutable.
 *
 * @param schema schema version it was written in
 * @param id identifier chosen by the publisher; a repeat of an id folds to nothing
 * @param expectedRevision revision the object must have for the record to be accepted; 0 for a new object
 * @param kind kind of the object
 * @param name name of the object
 * @param value the new value, or null when the record removes the object
 */
public record ConfigRecord(
        int schema, String id, long expectedRevision, ConfigObject.Kind kind, String name, ConfigObject value) {

    public ConfigKey key() {
        return new ConfigKey(kind, name);
    }
}
