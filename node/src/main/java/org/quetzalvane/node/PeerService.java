package org.quetzalvane.node;

import org.quetzalvane.core.ResultCode;
import org.quetzalvane.core.peer.PeerMessage;
import org.quetzalvane.core.peer.PeerPort;

/** Serves the messages of other nodes. Thread-safe. */
final class PeerService implements PeerPort.Handler {
    private final NodeRuntime node;

    PeerService(NodeRuntime node) {
        this.node = node;
    }

    @Override
    public void handle(PeerMessage message, PeerPort.Reply reply) {
        if (message instanceof PeerMessage.Heartbeat) {
            PeerMessage.Heartbeat h = (PeerMessage.Heartbeat) message;
            node.context().events().clock().observe(h.time());
            reply.end(own());
        } else {
            reply.end(new PeerMessage.Failure(ResultCode.FRAME_INVALID.number(), "not served here"));
        }
    }

    private PeerMessage own() {
        return new PeerMessage.Heartbeat(
                node.context().self(),
                node.draining(),
                node.config().appliedOffset(),
                node.context().events().clock().next());
    }
}
