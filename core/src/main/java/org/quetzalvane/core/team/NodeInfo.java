package org.quetzalvane.core.team;

/**
 * What every node knows about a node that is up. Immutable.
 *
 * @param address address for peers, IP:PORT
 * @param callerAddress address for callers, IP:PORT
 * @param zone data centre
 * @param capacity processor and link of the host, relative to the other hosts; greater is more
 * @param hub whether the node acts as a hub, see {@link HubSelector}
 * @param ready whether the node serves requests
 * @param leaving whether the node is leaving
 */
public record NodeInfo(
        String address, String callerAddress, String zone, int capacity, boolean hub, boolean ready, boolean leaving) {}
