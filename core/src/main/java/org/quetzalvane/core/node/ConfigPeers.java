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
 * Passes configuration records and offsets among nodes.
 *
 * <p>A node asks a few random peers for records while it is behind or cannot read the log, and shows its offset to a
 * few random peers on a slower timer; who is shown a higher offset asks the node that showed it. Nodes that were heard
 * of once are kept, so that one that restarts in an outage of the log is found again.
 *
 * <p>Thread-safe; holds no lock.
 */
public final class ConfigPeers {
    private static final Duration TICK = Duration.ofMillis(500);
    private static final int TICKS_PER_SHOW = 10;
    private static final int FANOUT = 2;
    private static final long MAX_ANSWER_BYTES = 256 << 10;

    private final NodeContext context;
    private final ConfigTable config;
    private final ConfigFeed feed;
    private final Membership membership;
    private final PeerPort peers;
    private final Supplier<PeerMessage.Heartbeat> heartbeat;
    private final SnapshotExchange snapshots;
    private final Map<String, NodeInfo> known = new ConcurrentHashMap<>();
    private final Random random;
    private int ticks;

    /** Builds the exchange of a node; {@code heartbeat} gives what the node shows of itself. */
    public ConfigPeers(
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

    /** Serves requests for records. */
    public void serveOn(PeerRouter router) {
        router.serve(PeerMessage.RecordsRequest.class, (wanted, reply) -> reply.end(records(wanted.from())));
        snapshots.serveOn(router);
    }

    public void start() {
        context.scheduler().repeat(TICK, this::tick);
    }

    /** Notes the offset that a node showed, in a heartbeat or an answer, and asks it for what is missing here. */
    public void seen(NodeInfo peer, long configOffset) {
        if (peer.node().equals(context.self().node())) {
            return;
        }
        known.put(peer.node(), peer);
        feed.seen(configOffset);
        if (configOffset > config.appliedOffset() && (feed.logDown() || !feed.started())) {
            pull(peer);
        }
    }

    /** Asks a few random peers for the records that are missing here. */
    public void pull() {
        choose().forEach(this::pull);
    }

    // Helpers

    private void tick() {
        for (NodeInfo n : membership.candidates(context.scheduler().nanoTime(), n -> true)) {
            known.put(n.node(), n);
        }
        if (feed.logDown() || feed.behind()) {
            pull();
        }
        if (ticks++ % TICKS_PER_SHOW == 0) {
            choose().forEach(this::show);
        }
    }

    private PeerMessage.Records records(long from) {
        List<byte[]> held = feed.records(from, MAX_ANSWER_BYTES);
        return new PeerMessage.Records(held.isEmpty() ? config.appliedOffset() + 1 : from, held);
    }

    private void pull(NodeInfo peer) {
        PeerMessage.RecordsRequest wanted = new PeerMessage.RecordsRequest(config.appliedOffset() + 1);
        peers.call(peer.peerAddress(), wanted).whenComplete((answer, failure) -> {
            if (answer instanceof PeerMessage.Records) {
                take(peer, (PeerMessage.Records) answer);
            }
        });
    }

    private void take(NodeInfo peer, PeerMessage.Records r) {
        long before = config.appliedOffset();
        feed.seen(r.from() + r.records().size() - 1);
        feed.fromPeer(r.from(), r.records());
        if (config.appliedOffset() > before) {
            pull(peer);
        } else if (r.records().isEmpty() && r.from() > before + 1 && (feed.logDown() || !feed.started())) {
            snapshots.fetch(peer);
        }
    }

    private void show(NodeInfo peer) {
        peers.call(peer.peerAddress(), heartbeat.get()).whenComplete((answer, failure) -> {
            if (answer instanceof PeerMessage.Heartbeat) {
                PeerMessage.Heartbeat h = (PeerMessage.Heartbeat) answer;
                seen(h.info(), h.configOffset());
            }
        });
    }

    private List<NodeInfo> choose() {
        List<NodeInfo> others = new ArrayList<>(known.values());
        others.removeIf(n -> n.node().equals(context.self().node()));
        Collections.shuffle(others, random);
        return others.subList(0, Math.min(FANOUT, others.size()));
    }
}
