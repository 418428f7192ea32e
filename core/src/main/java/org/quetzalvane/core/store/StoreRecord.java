package org.quetzalvane.core.store;

/**
 * A record of a keyed topic. Immutable; the value must not be changed.
 *
 * @param key key of the record
 * @param value content, or null if the key is removed
 * @param offset position in the topic; of two records of one key, the one with the greater offset is in force
 */
public record StoreRecord(String key, byte[] value, long offset) {}
