package org.quetzalvane.core.cluster;

import org.quetzalvane.core.model.DataCentre;

/**
 * The identity and addresses of a node. Immutable.
 *
 * @param node name of the node, unique in the cluster
 * @param incarnation identifies one run of the node; greater after every restart
 * @param host name of its host in the host list
 * @param dataCentre data centre of the host
 * @param callerAddress address for callers, {@code ip:port}
 * @param peerAddress address for other nodes, {@code ip:port}
 */
public record NodeInfo(
        String node, long incarnation, String host, DataCentre dataCentre, String callerAddress, String peerAddress) {}
