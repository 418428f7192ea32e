package org.quetzalvane.core.serve;

/**
 * One header line that is passed on as it came. Immutable.
 *
 * @param name name
 * @param value value as it came
 */
public record Header(String name, String value) {}
