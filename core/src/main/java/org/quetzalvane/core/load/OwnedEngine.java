package org.quetzalvane.core.load;

import org.quetzalvane.core.model.Engine;

/**
 * An engine this node has gained. Immutable.
 *
 * @param engine the engine
 * @param fencingToken number that every order carries
 * @param permit whether dispatch and orders are permitted at this moment
 */
public record OwnedEngine(Engine engine, long fencingToken, OwnershipCheck permit) {}
