package org.quetzalvane.core.routes;

/**
 * A base model that engines of a service may have resident. Immutable.
 *
 * @param name name of the base model
 * @param weightsMb memory of its weights in megabytes
 * @param adapterMb memory of one of its adapters in megabytes
 */
public record BaseModel(String name, double weightsMb, double adapterMb) {}
