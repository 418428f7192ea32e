package org.quetzalvane.standins.replay;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

import org.quetzalvane.core.ResultCode;
import org.quetzalvane.core.cluster.NodeContext;
import org.quetzalvane.core.cluster.NodeInfo;
import org.quetzalvane.core.event.EventLog;
import org.quetzalvane.core.event.HybridClock;
import org.quetzalvane.core.exc.QuetzalvaneException;
import org.quetzalvane.core.model.DataCentre;
import org.quetzalvane.core.node.Coordinator;
import org.quetzalvane.core.node.NodeConfig;
import org.quetzalvane.core.node.NodePorts;
import org.quetzalvane.core.peer.PeerMessage;
import org.quetzalvane.core.peer.PeerPort;
import org.quetzalvane.core.port.HostListPort;
import org.quetzalvane.core.time.ManualScheduler;

/** One node of a replay: a coordinator over fakes, behind a gate that can stop it. Used by one thread. */
final class ReplayNode {
    private static final int EVENT_RING = 1000;
    private static final Duration HOP = Duration.ofMillis(1);

    private final GatedScheduler gate;
    private final Coordinator coordinator;

    /**
     * What the nodes of a replay share. Immutable.
     *
     * @param time the paused clock
     * @param log the log
     * @param engines the engines by name
     * @param hosts the host list
     * @param nodes the nodes by peer address, for messages between them
     * @param measures hears the measures
     */
    record World(
            ManualScheduler time,
            FakeLog log,
            Map<String, FakeEngine> engines,
            HostListPort hosts,
            Map<String, ReplayNode> nodes,
            Measures measures) {}

    ReplayNode(String name, String dataCentre, World world, NodeConfig config) {
        this.gate = new GatedScheduler(world.time());
        NodeInfo self = new NodeInfo(
                name,
                world.time().nanoTime() + 1,
                "host-" + name,
                new DataCentre(TraceReplayer.REGION, dataCentre),
                name,
                name);
        EventLog events = new EventLog(name, new HybridClock(gate), EVENT_RING, e -> {});
        NodePorts ports = new NodePorts(
                world.log().port(gate),
                world.hosts(),
                new FakeEnginePort(world.time(), gate, world.engines()),
                (service, call) -> CompletableFuture.failedFuture(
                        new QuetzalvaneException(ResultCode.UNKNOWN_SERVICE, "no services in a replay")),
                peers(world));
        coordinator = new Coordinator(new NodeContext(self, gate, events), config, ports, world.measures());
    }

    Coordinator coordinator() {
        return coordinator;
    }

    GatedScheduler gate() {
        return gate;
    }

    private PeerPort peers(World world) {
        return (address, message, parts) -> {
            CompletableFuture<PeerMessage> answer = new CompletableFuture<>();
            world.time().schedule(HOP, () -> deliver(world, address, message, parts, answer));
            return answer;
        };
    }

    private void deliver(
            World world,
            String address,
            PeerMessage message,
            Consumer<PeerMessage> parts,
            CompletableFuture<PeerMessage> answer) {
        ReplayNode target = world.nodes().get(address);
        if (target == null || !target.gate.isLive()) {
            answer.completeExceptionally(new QuetzalvaneException(ResultCode.PEER_UNAVAILABLE, address));
            return;
        }
        target.coordinator.peerRouter().handle(message, new PeerPort.Reply() {
            @Override
            public void part(PeerMessage m) {
                world.time().schedule(HOP, () -> gate.run(() -> parts.accept(m)));
            }

            @Override
            public void end(PeerMessage m) {
                world.time().schedule(HOP, () -> gate.run(() -> answer.complete(m)));
            }
        });
    }
}
