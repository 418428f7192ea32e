package org.quetzalvane.core.node;

import org.quetzalvane.core.peer.PeerPort;
import org.quetzalvane.core.port.EnginePort;
import org.quetzalvane.core.port.HostListPort;
import org.quetzalvane.core.port.LogPort;
import org.quetzalvane.core.port.ServicePort;

/**
 * The external ports of a node. Immutable; the ports are thread-safe.
 *
 * @param log append-only streams of configuration, snapshots and ownership
 * @param hosts list of the hosts and whether each is leaving
 * @param engines orders, reports and attempts of model engines
 * @param services endpoints that are not model engines
 * @param peers messages to the other nodes
 */
public record NodePorts(LogPort log, HostListPort hosts, EnginePort engines, ServicePort services, PeerPort peers) {}
