package org.quetzalvane.core.node;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;

import org.quetzalvane.core.cluster.Membership;
import org.quetzalvane.core.cluster.NodeContext;
import org.quetzalvane.core.cluster.NodeInfo;
import org.quetzalvane.core.config.ConfigTable;
import org.quetzalvane.core.peer.PeerMessage;
import org.quetzalvane.core.peer.PeerPort;
import org.quetzalvane.core.peer.PeerRouter;

/**
 * Exchanges configuration records and offsets with other nodes.
 *
 * <p>While a node is behind its peers or cannot read the log, it requests records from a few random peers. At a longer
 * interval it sends a heartbeat with its offset to a few random peers. A node that cannot read the log or has not
 * finished its initial synchronization requests records from a node that reports a higher offset. Known nodes are never
 * removed, so that heartbeats also reach a node that restarts during an outage of the log.
 *
 * <p>Thread-safe; takes no lock.
 */
public final class ConfigGossip {
    private static final Duration PULL_CHECK_INTERVAL = Duration.ofMillis(500);
    private static final int CHECKS_PER_HEARTBEAT = 10;
    private static final int FANOUT = 2;
    private static final long MAX_REPLY_BYTES = 256 << 10;

    private final NodeContext context;
    private final ConfigTable config;
    private final ConfigFeed feed;
    private final Membership membership;
    private final PeerPort peers;
    private final Supplier<PeerMessage.Heartbeat> heartbeat;
    private final SnapshotExchange snapshots;
    private final Map<String, NodeInfo> knownNodes = new ConcurrentHashMap<>();
    private final Random random;
    private int checkCount;

    /** Creates the gossip of a node; {@code heartbeat} supplies the node's own heartbeat. */
    public ConfigGossip(
            NodeContext context,
            ConfigTable config,
            ConfigFeed feed,
            Membership membership,
            PeerPort peers,
            Supplier<PeerMessage.Heartbeat> heartbeat) {
        this.context = context;
        this.config = config;
        this.feed = feed;
        this.membership = membership;
        this.peers = peers;
        this.heartbeat = heartbeat;
        snapshots = new SnapshotExchange(context, config, feed, peers);
        random = new Random(context.self().node().hashCode());
    }

    /** Registers the handlers of requests for records and snapshots. */
    public void registerHandlers(PeerRouter router) {
        router.register(PeerMessage.RecordsRequest.class, (request, reply) -> reply.end(records(request.from())));
        snapshots.registerHandlers(router);
    }

    public void start() {
        context.scheduler().repeat(PULL_CHECK_INTERVAL, this::check);
    }

    /** Records the offset in a heartbeat of a node, and requests the missing records from it if necessary. */
    public void recordPeerOffset(NodeInfo peer, long configOffset) {
        if (peer.node().equals(context.self().node())) {
            return;
        }
        knownNodes.put(peer.node(), peer);
        feed.recordPeerOffset(configOffset);
        if (configOffset > config.appliedOffset() && (feed.isLogDown() || !feed.initialSyncDone())) {
            pull(peer);
        }
    }

    /** Requests the missing records from a few random peers. */
    public void pull() {
        randomPeers().forEach(this::pull);
    }

    // Helpers

    private void check() {
        for (NodeInfo node : membership.candidates(context.scheduler().nanoTime(), node -> true)) {
            knownNodes.put(node.node(), node);
        }
        if (feed.isLogDown() || feed.isBehindPeers()) {
            pull();
        }
        if (checkCount++ % CHECKS_PER_HEARTBEAT == 0) {
            randomPeers().forEach(this::sendHeartbeat);
        }
    }

    private PeerMessage.Records records(long from) {
        List<byte[]> recentRecords = feed.records(from, MAX_REPLY_BYTES);
        return new PeerMessage.Records(recentRecords.isEmpty() ? config.appliedOffset() + 1 : from, recentRecords);
    }

    private void pull(NodeInfo peer) {
        PeerMessage.RecordsRequest request = new PeerMessage.RecordsRequest(config.appliedOffset() + 1);
        peers.call(peer.peerAddress(), request).whenComplete((reply, failure) -> {
            if (reply instanceof PeerMessage.Records) {
                applyReply(peer, (PeerMessage.Records) reply);
            }
        });
    }

    private void applyReply(NodeInfo peer, PeerMessage.Records reply) {
        long offsetBefore = config.appliedOffset();
        feed.recordPeerOffset(reply.from() + reply.records().size() - 1);
        feed.applyFromPeer(reply.from(), reply.records());
        if (config.appliedOffset() > offsetBefore) {
            pull(peer);
        } else if (reply.records().isEmpty()
                && reply.from() > offsetBefore + 1
                && (feed.isLogDown() || !feed.initialSyncDone())) {
            snapshots.fetch(peer);
        }
    }

    private void sendHeartbeat(NodeInfo peer) {
        peers.call(peer.peerAddress(), heartbeat.get()).whenComplete((reply, failure) -> {
            if (reply instanceof PeerMessage.Heartbeat) {
                PeerMessage.Heartbeat received = (PeerMessage.Heartbeat) reply;
                recordPeerOffset(received.info(), received.configOffset());
            }
        });
    }

    private List<NodeInfo> randomPeers() {
        List<NodeInfo> others = new ArrayList<>(knownNodes.values());
        others.removeIf(node -> node.node().equals(context.self().node()));
        Collections.shuffle(others, random);
        return others.subList(0, Math.min(FANOUT, others.size()));
    }
}
