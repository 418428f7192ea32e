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
 * Signs of life among the nodes of a data centre, and between data centres of a region.
 *
 * <p>Each period a node exchanges a heartbeat with one random node of its data centre, and every few periods with one
 * of another. A heartbeat carries how long ago some other members were heard of, so that news spreads in a few periods
 * at one cost for any number of nodes. Invariants: ages only grow on the way, so a silent node is not kept alive by
 * hearsay; a heartbeat of an older incarnation is refused. Thread-safe; calls the port without locks.
 */
public final class Heartbeats {
    /** How long a heartbeat shows a node to be live. */
    static final Duration VALIDITY = Duration.ofSeconds(25);

    private static final Duration PERIOD = Duration.ofSeconds(1);
    private static final Duration FORGET = Duration.ofMinutes(10);
    private static final int PERIODS_PER_REMOTE = 5;
    private static final int MAX_SIGNS = 8;

    private final NodeInfo self;
    private final Scheduler scheduler;
    private final Membership membership;
    private final PeerPort peers;
    private final Function<List<PeerMessage.MemberObservation>, PeerMessage.Heartbeat> own;
    private final UniformRandomProvider random;
    private long periods;

    /**
     * Builds the heartbeats of one node; nothing happens before {@link #start()}.
     *
     * @param own makes this node's heartbeat with the given signs of others
     */
    public Heartbeats(
            NodeContext context,
            Membership membership,
            PeerPort peers,
            Function<List<PeerMessage.MemberObservation>, PeerMessage.Heartbeat> own) {
        this.self = context.self();
        this.scheduler = context.scheduler();
        this.membership = membership;
        this.peers = peers;
        this.own = own;
        this.random = RandomSource.SPLIT_MIX_64.create(RendezvousHash.score(self.node(), "" + self.incarnation()));
    }

    public void start() {
        scheduler.repeat(PERIOD, this::beat);
    }

    /** Answers a heartbeat with this node's own, or refuses one of an older incarnation. */
    public void serve(PeerMessage.Heartbeat heartbeat, PeerPort.Reply reply) {
        if (heard(heartbeat)) {
            reply.end(own.apply(signs()));
        } else {
            String message = "a newer incarnation of " + heartbeat.info().node() + " is known";
            reply.end(new PeerMessage.Failure(ResultCode.STALE_INCARNATION.number(), message));
        }
    }

    private void beat() {
        membership.forget(scheduler.nanoTime(), FORGET);
        boolean remote = ++periods % PERIODS_PER_REMOTE == 0;
        List<NodeInfo> others = membership.known(
                n -> !n.node().equals(self.node()) && n.dataCentre().equals(self.dataCentre()) != remote);
        if (others.isEmpty()) {
            return;
        }
        NodeInfo peer = others.get(draw(others.size()));
        peers.call(peer.peerAddress(), own.apply(signs())).thenAccept(answer -> {
            if (answer instanceof PeerMessage.Heartbeat) {
                heard((PeerMessage.Heartbeat) answer);
            }
        });
    }

    private boolean heard(PeerMessage.Heartbeat h) {
        long now = scheduler.nanoTime();
        if (!membership.recordHeartbeat(h.info(), h.leaving(), now + VALIDITY.toNanos())) {
            return false;
        }
        for (PeerMessage.MemberObservation s : h.signs()) {
            long until =
                    now + VALIDITY.toNanos() - Duration.ofMillis(s.ageMillis()).toNanos();
            membership.recordIndirectHeartbeat(s.node(), s.incarnation(), s.leaving(), until);
        }
        return true;
    }

    /** A few random members of this node's data centre and how long ago they were heard of. */
    private List<PeerMessage.MemberObservation> signs() {
        long now = scheduler.nanoTime();
        List<PeerMessage.MemberObservation> all = membership.signs(
                now,
                VALIDITY,
                n -> !n.node().equals(self.node()) && n.dataCentre().equals(self.dataCentre()));
        List<PeerMessage.MemberObservation> some = new ArrayList<>();
        while (!all.isEmpty() && some.size() < MAX_SIGNS) {
            some.add(all.remove(draw(all.size())));
        }
        return some;
    }

    private synchronized int draw(int bound) {
        return random.nextInt(bound);
    }
}
