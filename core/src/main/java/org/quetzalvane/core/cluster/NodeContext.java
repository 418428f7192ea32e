package org.quetzalvane.core.cluster;

import org.quetzalvane.core.event.EventLog;
import org.quetzalvane.core.time.Scheduler;

/**
 * The context that the components of a node share. Immutable; its components are thread-safe.
 *
 * @param self identity and addresses of this node
 * @param scheduler clock and timers
 * @param events buffer in which the events of the node are recorded
 */
public record NodeContext(NodeInfo self, Scheduler scheduler, EventLog events) {}
