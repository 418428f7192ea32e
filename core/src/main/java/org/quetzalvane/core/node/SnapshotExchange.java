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
 * Fetches a configuration snapshot from a peer, part by part, when the peer no longer keeps the missing records, and
 * serves snapshots to peers.
 *
 * <p>The serving node keeps one snapshot for {@link #SNAPSHOT_RETENTION}, so that all parts are of one offset. If it
 * creates another one meanwhile, the fetch is aborted; the next fetch starts with the first part. One fetch runs at a
 * time.
 *
 * <p>Thread-safe; its monitor is taken before the configuration table's lock.
 */
final class SnapshotExchange {
    private static final Duration SNAPSHOT_RETENTION = Duration.ofSeconds(30);

    private final NodeContext context;
    private final ConfigTable config;
    private final ConfigFeed feed;
    private final PeerPort peers;
    private final AtomicBoolean fetching = new AtomicBoolean();
    private List<byte[]> snapshotParts = List.of();

    SnapshotExchange(NodeContext context, ConfigTable config, ConfigFeed feed, PeerPort peers) {
        this.context = context;
        this.config = config;
        this.feed = feed;
        this.peers = peers;
    }

    void registerHandlers(PeerRouter router) {
        router.register(PeerMessage.SnapshotPartRequest.class, (request, reply) -> reply.end(part(request.part())));
    }

    /** Fetches a snapshot from a node, unless a fetch is running. */
    void fetch(NodeInfo peer) {
        if (fetching.compareAndSet(false, true)) {
            fetch(peer, new ArrayList<>());
        }
    }

    private void fetch(NodeInfo peer, List<SnapshotCodec.Part> parts) {
        PeerMessage.SnapshotPartRequest request = new PeerMessage.SnapshotPartRequest(parts.size());
        peers.call(peer.peerAddress(), request).whenComplete((reply, failure) -> {
            boolean more = reply instanceof PeerMessage.SnapshotPart
                    && addPart(parts, ((PeerMessage.SnapshotPart) reply).data());
            if (more) {
                fetch(peer, parts);
            } else {
                fetching.set(false);
            }
        });
    }

    /** Adds a part and restores the snapshot after the last one; returns whether to request the next part. */
    private boolean addPart(List<SnapshotCodec.Part> parts, byte[] data) {
        try {
            SnapshotCodec.Part part = SnapshotCodec.decode(data);
            boolean isNext = part.part() == parts.size()
                    && (parts.isEmpty() || parts.get(0).at() == part.at());
            if (!isNext) {
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
            snapshotParts = config.snapshot();
            List<byte[]> parts = snapshotParts;
            context.scheduler().schedule(SNAPSHOT_RETENTION, () -> discard(parts));
        }
        byte[] data = number >= 0 && number < snapshotParts.size() ? snapshotParts.get(number) : new byte[0];
        return new PeerMessage.SnapshotPart(data);
    }

    private synchronized void discard(List<byte[]> parts) {
        if (snapshotParts == parts) {
            snapshotParts = List.of();
        }
    }
}
