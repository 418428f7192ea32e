package org.quetzalvane.core.node;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.quetzalvane.core.ResultCode;
import org.quetzalvane.core.cluster.NodeInfo;
import org.quetzalvane.core.exc.QuetzalvaneException;
import org.quetzalvane.core.load.GovernedBudget;
import org.quetzalvane.core.load.LoadGovernor;
import org.quetzalvane.core.ownership.Ownership;
import org.quetzalvane.core.ownership.OwnershipConfig;
import org.quetzalvane.core.peer.PeerMessage;
import org.quetzalvane.core.peer.PeerPort;

/** Sends load permit requests to the region's load governor, which may be this node. Thread-safe and stateless. */
final class GovernorPeerClient implements GovernedBudget.GovernorClient {
    private final Coordinator node;

    GovernorPeerClient(Coordinator node) {
        this.node = node;
    }

    static LoadGovernor.Role role(Ownership ownership) {
        return new LoadGovernor.Role() {
            @Override
            public boolean isActive() {
                return ownership.mayDispatch(OwnershipConfig.LOAD_GOVERNOR);
            }

            @Override
            public long fencingToken() {
                return ownership.fencingToken(OwnershipConfig.LOAD_GOVERNOR).orElse(-1L);
            }
        };
    }

    @Override
    public boolean isAbsent() {
        return node.ownership().isClaimable(OwnershipConfig.LOAD_GOVERNOR);
    }

    @Override
    public CompletableFuture<PeerMessage> requestPermit(PeerMessage.LoadPermitRequest request) {
        return send(request);
    }

    @Override
    public void releasePermit(PeerMessage.LoadPermitRelease release) {
        send(release);
    }

    private CompletableFuture<PeerMessage> send(PeerMessage message) {
        Optional<NodeInfo> governor = node.ownership().ownerOf(OwnershipConfig.LOAD_GOVERNOR);
        if (governor.isEmpty()) {
            return CompletableFuture.failedFuture(
                    new QuetzalvaneException(ResultCode.PEER_UNAVAILABLE, "the region has no known load governor"));
        }
        if (!governor.get().node().equals(node.context().self().node())) {
            return node.ports().peers().call(governor.get().peerAddress(), message);
        }
        CompletableFuture<PeerMessage> reply = new CompletableFuture<>();
        node.peerRouter().handle(message, new PeerPort.Reply() {
            @Override
            public void part(PeerMessage m) {
                reply.completeExceptionally(
                        new IllegalStateException("the reply to a load permit request has no parts"));
            }

            @Override
            public void end(PeerMessage m) {
                reply.complete(m);
            }
        });
        return reply;
    }
}
