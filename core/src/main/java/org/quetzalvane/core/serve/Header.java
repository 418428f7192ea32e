package org.quetzalvane.core.serve;

/**
 * One HTTP header that is passed on unchanged. Immutable.
 *
 * @param name name
 * @param value value as received
 */
public record Header(String name, String value) {}
