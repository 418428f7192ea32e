package org.quetzalvane.node;

import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

import com.codahale.metrics.MetricRegistry;
import org.quetzalvane.adapters.engine.HttpEnginePort;
import org.quetzalvane.adapters.engine.HttpServicePort;
import org.quetzalvane.adapters.http.BufferingHttpClient;
import org.quetzalvane.adapters.http.ConnectionByteCounter;
import org.quetzalvane.adapters.http.JettyHttpServer;
import org.quetzalvane.adapters.logging.EventLogger;
import org.quetzalvane.adapters.metrics.DispatchMetrics;
import org.quetzalvane.adapters.metrics.EventMetrics;
import org.quetzalvane.adapters.metrics.PeerTrafficMetrics;
import org.quetzalvane.adapters.peer.TcpPeerPort;
import org.quetzalvane.adapters.platform.HttpHostListPort;
import org.quetzalvane.adapters.platform.HttpLogPort;
import org.quetzalvane.adapters.settings.NodeSettings;
import org.quetzalvane.core.cluster.NodeContext;
import org.quetzalvane.core.cluster.NodeInfo;
import org.quetzalvane.core.event.Event;
import org.quetzalvane.core.event.EventCode;
import org.quetzalvane.core.event.EventLog;
import org.quetzalvane.core.event.HybridClock;
import org.quetzalvane.core.load.DispatchConfig;
import org.quetzalvane.core.node.Coordinator;
import org.quetzalvane.core.node.NodeConfig;
import org.quetzalvane.core.node.NodePorts;
import org.quetzalvane.core.ownership.OwnershipConfig;
import org.quetzalvane.core.peer.PeerPort;
import org.quetzalvane.core.time.SystemScheduler;

/**
 * A running node: connects the port implementations to a {@link Coordinator} and owns their life cycle.
 *
 * <p>Thread-safe.
 */
public final class NodeProcess {
    private static final int TIMER_THREADS = 4;
    private static final int MAX_LOGGED_EVENTS = 20_000;

    private final SystemScheduler scheduler = new SystemScheduler(TIMER_THREADS);
    private final MetricRegistry metrics = new MetricRegistry();
    private final BufferingHttpClient http = BufferingHttpClient.start();
    /** Separate client for non-idempotent calls, each of which opens a connection of its own. */
    private final BufferingHttpClient nonIdempotentHttp = BufferingHttpClient.start();

    private final ConnectionByteCounter platformBytes = new ConnectionByteCounter();
    private final BufferingHttpClient platformHttp =
            BufferingHttpClient.start(NodeMetrics.PLATFORM_THREADS, platformBytes);
    private final CompletableFuture<Void> stopped = new CompletableFuture<>();
    private final Coordinator coordinator;
    private final TcpPeerPort peers;
    private final JettyHttpServer callerServer;
    private final JettyHttpServer operatorServer;

    private NodeProcess(NodeSettings settings) throws Exception {
        NodeSettings.Listen listen = settings.listen();
        NodeInfo self = new NodeInfo(
                settings.node().name(),
                scheduler.wallMillis(),
                settings.node().host(),
                settings.node().dataCentre(),
                listen.callers(),
                listen.peers());
        Consumer<Event> listener = new EventLogger().andThen(new EventMetrics(metrics));
        EventLog events = new EventLog(self.node(), new HybridClock(scheduler), MAX_LOGGED_EVENTS, listener);
        CompletableFuture<PeerPort.Handler> handler = new CompletableFuture<>();
        peers = TcpPeerPort.builder(
                        settings.cluster().name(), settings.cluster().secret(), scheduler)
                .frameListener(new PeerTrafficMetrics(metrics))
                .handler((message, reply) -> handler.join().handle(message, reply))
                .listen(self.peerAddress());
        NodePorts ports = new NodePorts(
                new HttpLogPort(platformHttp, settings.platform().log()),
                new HttpHostListPort(platformHttp, settings.platform().hosts()),
                new HttpEnginePort(http),
                new HttpServicePort(http, nonIdempotentHttp),
                peers);
        NodeContext context = new NodeContext(self, scheduler, events);
        coordinator = new Coordinator(context, nodeConfig(settings), ports, new DispatchMetrics(metrics));
        handler.complete(coordinator.peerRouter());
        NodeMetrics.register(metrics, coordinator, platformBytes);
        callerServer = new CallerApi(coordinator)
                .routes(server(settings).errorCodeListener(this::countError))
                .start(self.callerAddress());
        operatorServer = new OperatorApi(coordinator, metrics)
                .routes(JettyHttpServer.builder())
                .start(listen.operators());
    }

    /**
     * Starts a node: opens its servers, then starts to read the log and to take part in ownership. The node becomes
     * ready later, when the records of the log are applied.
     *
     * @throws Exception if the node cannot be started, such as for a port in use
     */
    public static NodeProcess start(NodeSettings settings) throws Exception {
        NodeProcess process = new NodeProcess(settings);
        process.coordinator.start();
        return process;
    }

    /**
     * Drains the node: completes the requests in progress, releases the engines and stops. Returns when the node has
     * stopped.
     */
    public void stopGracefully() {
        coordinator.drain().join();
        close();
        stopped.complete(null);
    }

    /** Future that completes when the node has stopped. */
    public CompletableFuture<Void> stopped() {
        return stopped;
    }

    private static NodeConfig nodeConfig(NodeSettings settings) {
        NodeSettings.Timing timing = settings.timing();
        NodeSettings.Limits limits = settings.limits();
        String region = settings.node().dataCentre().region();
        DispatchConfig dispatch = DispatchConfig.defaults()
                .withQueues(limits.queuePerEngine(), limits.queuePerCaller())
                .withTimeouts(limits.progressTimeout(), limits.requestTimeout())
                .withBatchWeight(settings.policy().batchWeight());
        return NodeConfig.of(region)
                .withOwnership(OwnershipConfig.of(region).withLease(timing.leaseDuration()))
                .withDispatch(dispatch)
                .withPollInterval(timing.pollInterval())
                .withAddressTtl(timing.addressTtl())
                .withDrainTimeout(timing.drainTimeout())
                .withSnapshotInterval(timing.snapshotInterval());
    }

    private static JettyHttpServer.Builder server(NodeSettings settings) {
        NodeSettings.Limits limits = settings.limits();
        return JettyHttpServer.builder()
                .bodyLimitBytes(limits.bodyBytes())
                .idleTimeout(limits.readTimeout())
                .stopTimeout(settings.timing().drainTimeout());
    }

    private void countError(int code) {
        metrics.counter("answered." + code).inc();
    }

    private void close() {
        try {
            callerServer.close();
            operatorServer.close();
            peers.close();
            http.close();
            nonIdempotentHttp.close();
            platformHttp.close();
        } catch (IOException e) {
            coordinator
                    .context()
                    .events()
                    .record(EventCode.TASK_FAILED, coordinator.context().self().node(), "close: " + e);
        }
        scheduler.close();
    }
}
