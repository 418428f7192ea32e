package org.quetzalvane.core.fleet;

/**
 * A software version of the endpoints of a service. Immutable.
 *
 * @param service name of the service
 * @param softwareVersion version of the endpoints' software, not of their weights
 */
public record ServiceVersion(String service, String softwareVersion) {}
