package org.quetzalvane.core.cluster;

import org.quetzalvane.core.event.EventLog;
import org.quetzalvane.core.time.Scheduler;

/**
 * What every part of a node works with. Immutable; its parts are thread-safe.
 *
 * @param self who this node is
 * @param scheduler clock and timers
 * @param events where events are recorded
 */
public record NodeContext(NodeInfo self, Scheduler scheduler, EventLog events) {}
