package org.quetzalvane.core.node;

import org.quetzalvane.core.peer.PeerPort;
import org.quetzalvane.core.port.EnginePort;
import org.quetzalvane.core.port.HostListPort;
import org.quetzalvane.core.port.LogPort;
import org.quetzalvane.core.port.ServicePort;

/**
 * The external ports of a node. Immutable; the ports are thread-safe.
 *
 * @param log log service
 * @param hosts host list
 * @param engines engines
 * @param services plain services
 * @param peers other nodes
 */
public record NodePorts(LogPort log, HostListPort hosts, EnginePort engines, ServicePort services, PeerPort peers) {}
