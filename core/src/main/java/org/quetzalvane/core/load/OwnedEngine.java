package org.quetzalvane.core.load;

import org.quetzalvane.core.model.Engine;

/**
 * An engine that this node owns. Immutable.
 *
 * @param engine the engine
 * @param fencingToken fencing token that every order to the engine carries
 * @param ownershipCheck whether this node may send attempts and orders to the engine now
 */
public record OwnedEngine(Engine engine, long fencingToken, OwnershipCheck ownershipCheck) {}
