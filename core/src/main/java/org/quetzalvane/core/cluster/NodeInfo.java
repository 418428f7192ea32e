package org.quetzalvane.core.cluster;

import org.quetzalvane.core.model.DataCentre;

/**
 * Who a node is and where it is reached. Immutable.
 *
 * @param node name of the node, unique in the cluster
 * @param incarnation greater after every restart of the node
 * @param host its entry host, as the host list names it
 * @param dataCentre where it runs
 * @param callerAddress address for callers, {@code ip:port}
 * @param peerAddress address for other nodes, {@code ip:port}
 */
public record NodeInfo(
        String node, long incarnation, String host, DataCentre dataCentre, String callerAddress, String peerAddress) {}
