package org.quetzalvane.core.team;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

import org.quetzalvane.core.cluster.RendezvousHash;

/**
 * Selects the hubs: the nodes that exchange their status with each other, own engines and read the store.
 *
 * <p>Every other node sends its status to one hub of its data centre, which includes it in its own and sends back what
 * it knows. Status messages between hundreds of nodes that all report to each other grow with the square of their
 * number and take up more processor time than the requests; between hubs they grow with the square of the number of
 * data centres. Up to {@link #MAX_MESH_NODES} nodes are all hubs. No vote is needed: nodes that know the same nodes
 * select the same hubs, and a node that acts as a hub although others do not select it only costs messages. Stateless
 * and thread-safe.
 */
public final class HubSelector {
    /** Number of nodes up to which every node is a hub, which takes no more messages than hubs would. */
    static final int MAX_MESH_NODES = 12;
    /** Hubs of each data centre: when one is lost, the other one serves its nodes within a status interval. */
    static final int HUBS_PER_ZONE = 2;

    private HubSelector() {}

    /**
     * The addresses of the hubs of a data centre, of all data centres if there are few nodes: the hosts with the most
     * capacity. Nodes that are leaving are not selected.
     *
     * @param nodes all nodes that are up
     */
    public static Set<String> hubs(Collection<NodeInfo> nodes, String zone) {
        List<NodeInfo> staying = nodes.stream().filter(n -> !n.leaving()).toList();
        boolean mesh = staying.size() <= MAX_MESH_NODES;
        return staying.stream()
                .filter(n -> mesh || n.zone().equals(zone))
                .sorted(Comparator.comparingInt(NodeInfo::capacity)
                        .reversed()
                        .thenComparing(n -> RendezvousHash.hash(n.address())))
                .limit(mesh ? MAX_MESH_NODES : HUBS_PER_ZONE)
                .map(NodeInfo::address)
                .collect(Collectors.toUnmodifiableSet());
    }

    /** The hub that a node reports to, or null if there is none; the nodes of a data centre spread over its hubs. */
    public static String hubOf(String node, Set<String> hubs) {
        return RendezvousHash.rank(node, hubs, h -> h).stream().findFirst().orElse(null);
    }
}
