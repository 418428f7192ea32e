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

/**
 * A node of a replay: a coordinator with fake ports and a {@link NodeScheduler}, through which the node is frozen,
 * thawed and killed. Not thread-safe.
 */
final class ReplayNode {
    private static final int EVENT_LOG_CAPACITY = 1000;
    private static final Duration PEER_DELAY = Duration.ofMillis(1);

    private final NodeScheduler scheduler;
    private final Coordinator coordinator;

    /**
     * State shared by the nodes of a replay. Immutable.
     *
     * @param scheduler simulated clock
     * @param log log service
     * @param engines engines by name
     * @param hosts host list
     * @param nodes nodes by peer address
     * @param statistics statistics of the replay
     */
    record SharedEnvironment(
            ManualScheduler scheduler,
            FakeLog log,
            Map<String, FakeEngine> engines,
            HostListPort hosts,
            Map<String, ReplayNode> nodes,
            ReplayStatistics statistics) {}

    ReplayNode(String name, String dataCentre, SharedEnvironment environment, NodeConfig config) {
        this.scheduler = new NodeScheduler(environment.scheduler());
        NodeInfo self = new NodeInfo(
                name,
                environment.scheduler().nanoTime() + 1,
                "host-" + name,
                new DataCentre(TraceReplayer.REGION, dataCentre),
                name,
                name);
        EventLog events = new EventLog(name, new HybridClock(scheduler), EVENT_LOG_CAPACITY, e -> {});
        NodePorts ports = new NodePorts(
                environment.log().port(scheduler),
                environment.hosts(),
                new FakeEnginePort(environment.scheduler(), scheduler, environment.engines()),
                (service, call) -> CompletableFuture.failedFuture(
                        new QuetzalvaneException(ResultCode.UNKNOWN_SERVICE, "replays have no services")),
                peers(environment));
        coordinator =
                new Coordinator(new NodeContext(self, scheduler, events), config, ports, environment.statistics());
    }

    Coordinator coordinator() {
        return coordinator;
    }

    NodeScheduler scheduler() {
        return scheduler;
    }

    private PeerPort peers(SharedEnvironment environment) {
        return (address, message, parts) -> {
            CompletableFuture<PeerMessage> reply = new CompletableFuture<>();
            environment.scheduler().schedule(PEER_DELAY, () -> deliver(environment, address, message, parts, reply));
            return reply;
        };
    }

    private void deliver(
            SharedEnvironment environment,
            String address,
            PeerMessage message,
            Consumer<PeerMessage> parts,
            CompletableFuture<PeerMessage> reply) {
        ReplayNode target = environment.nodes().get(address);
        if (target == null || !target.scheduler.isLive()) {
            reply.completeExceptionally(new QuetzalvaneException(ResultCode.PEER_UNAVAILABLE, address));
            return;
        }
        target.coordinator.peerRouter().handle(message, new PeerPort.Reply() {
            @Override
            public void part(PeerMessage m) {
                environment.scheduler().schedule(PEER_DELAY, () -> scheduler.runOnNode(() -> parts.accept(m)));
            }

            @Override
            public void end(PeerMessage m) {
                environment.scheduler().schedule(PEER_DELAY, () -> scheduler.runOnNode(() -> reply.complete(m)));
            }
        });
    }
}
