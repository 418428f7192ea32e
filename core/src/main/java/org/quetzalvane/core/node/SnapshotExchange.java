package org.quetzalvane.core.node;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;

import org.quetzalvane.core.cluster.NodeContext;
import org.quetzalvane.core.cluster.NodeInfo;
import org.quetzalvane.core.config.ConfigTable;
import org.quetzalvane.core.config.SnapshotCodec;
import org.quetzalvane.core.exc.RecordException;
import org.quetzalvane.core.peer.PeerMessage;
import org.quetzalvane.core.peer.PeerPort;
import org.quetzalvane.core.peer.PeerRouter;

/**
 * Takes a snapshot from a node whose ring of records does not reach back far enough, part by part.
 *
 * <p>The node that is asked keeps one snapshot for a short time, so that all parts are of one offset; when it moves on
 * meanwhile, the fetch is given up and begun anew by the next one. One fetch runs at a time.
 *
 * <p>Thread-safe; its monitor is taken before the configuration table's lock.
 */
final class SnapshotExchange {
    private static final Duration KEPT = Duration.ofSeconds(30);

    private final NodeContext context;
    private final ConfigTable config;
    private final ConfigFeed feed;
    private final PeerPort peers;
    private final AtomicBoolean fetching = new AtomicBoolean();
    private List<byte[]> kept = List.of();

    SnapshotExchange(NodeContext context, ConfigTable config, ConfigFeed feed, PeerPort peers) {
        this.context = context;
        this.config = config;
        this.feed = feed;
        this.peers = peers;
    }

    void serveOn(PeerRouter router) {
        router.serve(PeerMessage.SnapshotPartRequest.class, (wanted, reply) -> reply.end(part(wanted.part())));
    }

    /** Fetches a snapshot from a node, unless one is being fetched. */
    void fetch(NodeInfo peer) {
        if (fetching.compareAndSet(false, true)) {
            fetch(peer, new ArrayList<>());
        }
    }

    private void fetch(NodeInfo peer, List<SnapshotCodec.Part> parts) {
        PeerMessage.SnapshotPartRequest wanted = new PeerMessage.SnapshotPartRequest(parts.size());
        peers.call(peer.peerAddress(), wanted).whenComplete((answer, failure) -> {
            boolean more = answer instanceof PeerMessage.SnapshotPart
                    && take(parts, ((PeerMessage.SnapshotPart) answer).data());
            if (more) {
                fetch(peer, parts);
            } else {
                fetching.set(false);
            }
        });
    }

    /** Takes a part and restores after the last one; returns whether to ask for the next. */
    private boolean take(List<SnapshotCodec.Part> parts, byte[] data) {
        try {
            SnapshotCodec.Part part = SnapshotCodec.decode(data);
            boolean fits = part.part() == parts.size()
                    && (parts.isEmpty() || parts.get(0).at() == part.at());
            if (!fits) {
                return false;
            }
            parts.add(part);
            if (part.last()) {
                feed.restore(parts);
            }
            return !part.last();
        } catch (RecordException e) {
            return false;
        }
    }

    private synchronized PeerMessage.SnapshotPart part(int number) {
        if (number == 0) {
            kept = config.snapshot();
            List<byte[]> mine = kept;
            context.scheduler().schedule(KEPT, () -> forget(mine));
        }
        byte[] data = number >= 0 && number < kept.size() ? kept.get(number) : new byte[0];
        return new PeerMessage.SnapshotPart(data);
    }

    private synchronized void forget(List<byte[]> snapshot) {
        if (kept == snapshot) {
            kept = List.of();
        }
    }
}
