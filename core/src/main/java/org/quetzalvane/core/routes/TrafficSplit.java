package org.quetzalvane.core.routes;

/**
 * The share of a route's requests that goes to one service. Immutable.
 *
 * @param service name of the service
 * @param weight share in proportion to the other weights
 */
public record TrafficSplit(String service, int weight) {}
