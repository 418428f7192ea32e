package org.quetzalvane.core.cluster;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.quetzalvane.core.ResultCode;
import org.quetzalvane.core.peer.PeerMessage;
import org.quetzalvane.core.peer.PeerPort;
import org.quetzalvane.core.time.Scheduler;

/**
 * Exchanges heartbeats among the nodes of a data centre, and between data centres.
 *
 * <p>In each interval a node exchanges a heartbeat with one random node: mostly of its own data centre, and every few
 * intervals of another. A heartbeat carries the ages of the last heartbeats of up to {@value #MAX_OBSERVATIONS} other
 * members, so that the liveness of known members spreads without a direct exchange; the number and size of the messages
 * of a node do not depend on the number of nodes. New nodes become known only by their lease renewals or their own
 * heartbeats. Invariants: an age only increases when it is passed on, so that other nodes cannot keep a silent node
 * alive; a heartbeat of an older incarnation is rejected. Thread-safe; calls the port without locks.
 */
public final class Heartbeats {
    /** Duration for which a node counts as live after a heartbeat. */
    static final Duration VALIDITY = Duration.ofSeconds(25);

    private static final Duration INTERVAL = Duration.ofSeconds(1);
    /** Duration without a valid renewal or heartbeat after which a node is removed. */
    private static final Duration MAX_SILENCE = Duration.ofMinutes(10);
    /** One in this number of heartbeats goes to another data centre. */
    private static final int INTERVALS_PER_REMOTE_HEARTBEAT = 5;

    private static final int MAX_OBSERVATIONS = 8;

    private final NodeInfo self;
    private final Scheduler scheduler;
    private final Membership membership;
    private final PeerPort peers;
    private final Function<List<PeerMessage.MemberObservation>, PeerMessage.Heartbeat> createHeartbeat;
    private final UniformRandomProvider random;
    private long intervals;

    /**
     * Creates the heartbeats of one node, inactive until {@link #start()}.
     *
     * @param createHeartbeat creates a heartbeat of this node with the given observations of other members
     */
    public Heartbeats(
            NodeContext context,
            Membership membership,
            PeerPort peers,
            Function<List<PeerMessage.MemberObservation>, PeerMessage.Heartbeat> createHeartbeat) {
        this.self = context.self();
        this.scheduler = context.scheduler();
        this.membership = membership;
        this.peers = peers;
        this.createHeartbeat = createHeartbeat;
        this.random = RandomSource.SPLIT_MIX_64.create(RendezvousHash.score(self.node(), "" + self.incarnation()));
    }

    public void start() {
        scheduler.repeat(INTERVAL, this::exchange);
    }

    /** Replies to a heartbeat with one of this node, or rejects a heartbeat of an older incarnation. */
    public void handle(PeerMessage.Heartbeat heartbeat, PeerPort.Reply reply) {
        if (update(heartbeat)) {
            reply.end(createHeartbeat.apply(observations()));
        } else {
            String message = "a newer incarnation of " + heartbeat.info().node() + " is known";
            reply.end(new PeerMessage.Failure(ResultCode.STALE_INCARNATION.number(), message));
        }
    }

    private void exchange() {
        membership.removeSilent(scheduler.nanoTime(), MAX_SILENCE);
        boolean remote = ++intervals % INTERVALS_PER_REMOTE_HEARTBEAT == 0;
        List<NodeInfo> others = membership.known(
                n -> !n.node().equals(self.node()) && n.dataCentre().equals(self.dataCentre()) != remote);
        if (others.isEmpty()) {
            return;
        }
        NodeInfo peer = others.get(randomIndex(others.size()));
        peers.call(peer.peerAddress(), createHeartbeat.apply(observations())).thenAccept(reply -> {
            if (reply instanceof PeerMessage.Heartbeat) {
                update((PeerMessage.Heartbeat) reply);
            }
        });
    }

    private boolean update(PeerMessage.Heartbeat h) {
        long now = scheduler.nanoTime();
        if (!membership.recordHeartbeat(h.info(), h.leaving(), now + VALIDITY.toNanos())) {
            return false;
        }
        for (PeerMessage.MemberObservation observation : h.observations()) {
            long until = now
                    + VALIDITY.toNanos()
                    - Duration.ofMillis(observation.ageMillis()).toNanos();
            membership.recordIndirectHeartbeat(
                    observation.node(), observation.incarnation(), observation.leaving(), until);
        }
        return true;
    }

    /** The ages of the last heartbeats of a few random members of the data centre of this node. */
    private List<PeerMessage.MemberObservation> observations() {
        long now = scheduler.nanoTime();
        List<PeerMessage.MemberObservation> candidates = membership.observations(
                now,
                VALIDITY,
                n -> !n.node().equals(self.node()) && n.dataCentre().equals(self.dataCentre()));
        List<PeerMessage.MemberObservation> chosen = new ArrayList<>();
        while (!candidates.isEmpty() && chosen.size() < MAX_OBSERVATIONS) {
            chosen.add(candidates.remove(randomIndex(candidates.size())));
        }
        return chosen;
    }

    private synchronized int randomIndex(int bound) {
        return random.nextInt(bound);
    }
}
