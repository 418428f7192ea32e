package org.quetzalvane.core.routing;

import org.quetzalvane.core.cluster.NodeInfo;
import org.quetzalvane.core.model.Engine;

/**
 * Destination of a request for an adapter version. Immutable.
 *
 * @param engine engine that serves the request
 * @param owner node that owns the engine
 */
public record EngineRoute(Engine engine, NodeInfo owner) {}
