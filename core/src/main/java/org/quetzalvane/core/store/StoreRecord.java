package org.quetzalvane.core.store;

/**
 * One record of a keyed topic. Immutable; the value must not be changed.
 *
 * @param key name of what it tells of
 * @param value content, or null where the key is dropped
 * @param offset place in the topic; of two records of one key the greater holds
 */
public record StoreRecord(String key, byte[] value, long offset) {}
