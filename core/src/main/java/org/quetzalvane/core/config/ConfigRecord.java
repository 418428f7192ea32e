package org.quetzalvane.core.config;

import org.quetzalvane.core.model.ConfigObject;

/**
 * A decoded configuration record, independent of the schema version in which it was written. Immutable.
 *
 * @param schema schema version in which the record was written
 * @param id identifier chosen by the publisher; a record that repeats an id has no effect while the outcome of the
 *    first one is kept
 * @param expectedRevision revision the object must have for the record to be accepted; 0 for an object that no record
 *    has changed
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
