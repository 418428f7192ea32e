package org.quetzalvane.core.cluster;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.quetzalvane.core.ResultCode;
import org.quetzalvane.core.event.EventLog;
import org.quetzalvane.core.event.HybridClock;
import org.quetzalvane.core.exc.QuetzalvaneException;
import org.quetzalvane.core.model.DataCentre;
import org.quetzalvane.core.peer.PeerMessage;
import org.quetzalvane.core.peer.PeerPort;
import org.quetzalvane.core.time.ManualScheduler;

import static org.assertj.core.api.Assertions.assertThat;

/** Membership of the 18 nodes of a data centre by heartbeats alone, without lease renewals, on a manual clock. */
class HeartbeatsTest {
    private static final int NODES = 18;
    private static final Duration ONE_SECOND = Duration.ofSeconds(1);
    private static final Duration PEER_LATENCY = Duration.ofMillis(5);
    private static final int STEADY_SECONDS = 600;

    private final ManualScheduler time = new ManualScheduler();
    private final Map<String, Member> members = new TreeMap<>();
    private final Set<String> dead = new HashSet<>();

    private record Member(NodeInfo info, Membership membership, Heartbeats heartbeats, Set<String> leaving) {}

    @BeforeEach
    void startAll() {
        List<NodeInfo> nodes = new ArrayList<>();
        for (int i = 0; i < NODES; i++) {
            nodes.add(info("n" + i, 1));
        }
        nodes.forEach(this::start);
        for (Member m : members.values()) {
            nodes.forEach(i -> m.membership.recordHeartbeat(i, false, Heartbeats.VALIDITY.toNanos()));
            m.heartbeats.start();
        }
    }

    @Test
    void liveNodesStayAndDeadNodeExpires() {
        for (int s = 0; s < STEADY_SECONDS; s++) {
            time.advance(ONE_SECOND);
            assertThat(members.values()).allMatch(m -> live(m).size() == NODES - 1);
        }
        dead.add("n3");
        time.advance(Heartbeats.VALIDITY.plus(ONE_SECOND));
        members.remove("n3");
        assertThat(members.values()).noneMatch(m -> live(m).contains("n3"));
    }

    @Test
    void noNodeListsLeavingNodeAsLiveAfterTenSeconds() {
        members.get("n3").leaving.add("n3");
        time.advance(ONE_SECOND.multipliedBy(10));
        assertThat(members.values()).noneMatch(m -> live(m).contains("n3"));
    }

    @Test
    void heartbeatOfOlderIncarnationIsRejected() {
        Member receiver = members.get("n0");
        receiver.membership.recordRenewal(info("n3", 2), false, Heartbeats.VALIDITY.toNanos());
        PeerMessage reply = exchange(receiver, heartbeat(members.get("n3"), List.of()));
        assertThat(reply).isInstanceOfSatisfying(PeerMessage.Failure.class, f -> assertThat(f.code())
                .isEqualTo(ResultCode.STALE_INCARNATION.number()));
        assertThat(receiver.membership.find("n3")).contains(info("n3", 2));
    }

    private void start(NodeInfo info) {
        EventLog events = new EventLog(info.node(), new HybridClock(time), 16, e -> {});
        Membership membership = new Membership(events);
        PeerPort port = (address, message, parts) -> call(info.node(), address, message);
        NodeContext context = new NodeContext(info, time, events);
        Heartbeats h = new Heartbeats(
                context, membership, port, observations -> heartbeat(members.get(info.node()), observations));
        members.put(info.node(), new Member(info, membership, h, new HashSet<>()));
    }

    private CompletableFuture<PeerMessage> call(String from, String to, PeerMessage message) {
        CompletableFuture<PeerMessage> reply = new CompletableFuture<>();
        time.schedule(PEER_LATENCY, () -> {
            if (dead.contains(from) || dead.contains(to)) {
                reply.completeExceptionally(new QuetzalvaneException(ResultCode.PEER_UNAVAILABLE, "dead"));
            } else {
                reply.complete(exchange(members.get(to), (PeerMessage.Heartbeat) message));
            }
        });
        return reply;
    }

    private static PeerMessage exchange(Member receiver, PeerMessage.Heartbeat heartbeat) {
        CompletableFuture<PeerMessage> reply = new CompletableFuture<>();
        receiver.heartbeats.handle(heartbeat, new PeerPort.Reply() {
            @Override
            public void part(PeerMessage message) {}

            @Override
            public void end(PeerMessage message) {
                reply.complete(message);
            }
        });
        return reply.join();
    }

    private static PeerMessage.Heartbeat heartbeat(Member m, List<PeerMessage.MemberObservation> observations) {
        return new PeerMessage.Heartbeat(m.info, m.leaving.contains(m.info.node()), 0, 0, observations);
    }

    private Set<String> live(Member m) {
        Set<String> names = new HashSet<>();
        m.membership.live(time.nanoTime(), i -> true).forEach(i -> names.add(i.node()));
        names.remove(m.info.node());
        return names;
    }

    private static NodeInfo info(String node, long incarnation) {
        return new NodeInfo(node, incarnation, "host-" + node, new DataCentre("r1", "a"), node, node);
    }
}
