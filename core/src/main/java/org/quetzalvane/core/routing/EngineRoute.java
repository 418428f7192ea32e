package org.quetzalvane.core.routing;

import org.quetzalvane.core.cluster.NodeInfo;
import org.quetzalvane.core.model.Engine;

/**
 * Where a request for an adapter version goes. Immutable.
 *
 * @param engine the engine that is to serve it
 * @param owner the node that owns the engine
 */
public record EngineRoute(Engine engine, NodeInfo owner) {}
