package org.quetzalvane.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;

import org.quetzalvane.core.team.EntryHostSelector;
import org.quetzalvane.core.team.NodeInfo;
import org.quetzalvane.core.team.PeerTable;
import org.quetzalvane.platform.DirectoryProtocol;
import org.quetzalvane.transport.ServerExchange;

/** Tells callers which entry hosts to use, and the platform whether this one is ready. Confined to the event loop. */
final class CallerDirectory {
    /** Time for which callers may use a response of the directory, s. */
    private static final double TTL_S = 2;

    private final PeerTable peers;
    private final Supplier<NodeInfo> self;
    private final double maxTtlS;

    /**
     * Creates a directory.
     *
     * @param self this node as it is now
     * @param maxTtlS longest time for which callers use a response, seconds
     */
    CallerDirectory(PeerTable peers, Supplier<NodeInfo> self, double maxTtlS) {
        this.peers = peers;
        this.self = self;
        this.maxTtlS = maxTtlS;
    }

    void serveReadiness(ServerExchange exchange) {
        if (DirectoryProtocol.isReadinessRequest(exchange)) {
            DirectoryProtocol.respondReadiness(exchange, self.get().ready());
        } else {
            DirectoryProtocol.respondNotFound(exchange);
        }
    }

    void serveAddresses(ServerExchange exchange) {
        if (DirectoryProtocol.requestedZone(exchange).isEmpty()) {
            DirectoryProtocol.respondNotFound(exchange);
            return;
        }
        List<NodeInfo> nodes = new ArrayList<>(peers.nodes());
        NodeInfo own = self.get();
        nodes.add(own);
        List<String> addresses = EntryHostSelector.select(nodes, own.address()).stream()
                .map(NodeInfo::callerAddress)
                .toList();
        if (addresses.isEmpty()) {
            DirectoryProtocol.respondUnavailable(exchange);
        } else {
            DirectoryProtocol.respondAddresses(exchange, addresses, Math.min(TTL_S, maxTtlS));
        }
    }
}
