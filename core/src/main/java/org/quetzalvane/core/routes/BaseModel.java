package org.quetzalvane.core.routes;

/**
 * A base model that a service's engines may hold. Immutable.
 *
 * @param name name
 * @param weightsMb memory of its weights in megabytes
 * @param adapterMb memory of one of its adapters in megabytes
 */
public record BaseModel(String name, double weightsMb, double adapterMb) {}
