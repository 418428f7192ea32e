package org.quetzalvane.standins.replay;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.quetzalvane.core.load.DispatchConfig;
import org.quetzalvane.core.node.Coordinator;
import org.quetzalvane.core.node.NodeConfig;
import org.quetzalvane.core.ownership.OwnershipConfig;
import org.quetzalvane.core.port.HostListPort;
import org.quetzalvane.core.time.ManualScheduler;

/**
 * Replays one trace against coordinators on a simulated clock and reports statistics.
 *
 * <p>The same trace and configuration give the same report, byte for byte. Not thread-safe.
 */
public final class TraceReplayer {
    static final String REGION = "r1";

    private static final String BASE_MODEL = "base";
    private static final Duration WARM_UP = Duration.ofSeconds(10);
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final Trace trace;
    private final NodeConfig config;
    private final ManualScheduler scheduler = new ManualScheduler();
    private final FakeLog log = new FakeLog();
    private final FakeStore store;
    private final Map<String, FakeEngine> engines = new LinkedHashMap<>();
    private final Map<String, ReplayNode> nodes = new TreeMap<>();
    private final ReplayStatistics statistics = new ReplayStatistics();
    private final ReplayNode.SharedEnvironment environment;

    private TraceReplayer(Trace trace, NodeConfig config) {
        this.trace = trace;
        this.config = config;
        this.store = new FakeStore(scheduler, trace.header());
        HostListPort hosts = () -> CompletableFuture.completedFuture(java.util.List.of());
        this.environment = new ReplayNode.SharedEnvironment(scheduler, log, engines, hosts, nodes, statistics);
    }

    /**
     * Returns the node configuration for replays: a lease of 6 s and a poll interval of 250 ms, which suit a cluster of
     * the size of the traces.
     */
    public static NodeConfig baseNodeConfig() {
        return NodeConfig.of(REGION)
                .withOwnership(OwnershipConfig.of(REGION).withLease(Duration.ofSeconds(6)))
                .withPollInterval(Duration.ofMillis(250));
    }

    /** Returns the node configuration with the default policy and the batch weight of the trace. */
    public static NodeConfig nodeConfig(TraceHeader header) {
        return baseNodeConfig().withDispatch(DispatchConfig.defaults().withBatchWeight(header.batchWeight()));
    }

    /** Replays a trace with the given node configuration. */
    public static ReplayReport replay(Trace trace, NodeConfig config) {
        return new TraceReplayer(trace, config).run();
    }

    private ReplayReport run() {
        createEnginesAndPublishConfig();
        for (int i = 1; i <= trace.header().nodes(); i++) {
            startNode("n" + i);
        }
        scheduler.advance(WARM_UP);
        long start = scheduler.nanoTime();
        ReplayCallers callers = new ReplayCallers(scheduler, nodes, statistics);
        for (TraceEvent e : trace.events()) {
            scheduler.runUntil(start + e.at() * NANOS_PER_MILLI);
            if (e instanceof TraceEvent.Arrival) {
                callers.submitArrival((TraceEvent.Arrival) e);
            } else {
                applyFault((TraceEvent.Fault) e);
            }
        }
        scheduler.runUntil(start + trace.header().endMillis() * NANOS_PER_MILLI);
        return ReplayReport.of(trace.header(), statistics, store, engines.values(), log.appends());
    }

    private void startNode(String name) {
        int number = Integer.parseInt(name.substring(1));
        ReplayNode node = new ReplayNode(name, dataCentre(number), environment, config);
        nodes.put(name, node);
        node.coordinator().start();
    }

    private String dataCentre(int number) {
        return "dc" + (number % trace.header().dataCentres());
    }

    private void applyFault(TraceEvent.Fault f) {
        switch (f.fault()) {
            case ENGINE_RESTART -> engines.get(f.target()).restart();
            case FAIL_LOADS -> store.failNext(f.value());
            case STORE_SLOW -> store.setSlowFactor(f.value());
            case STORE_DOWN -> store.setDown(f.value() != 0);
            case REPORT_LAG -> engines.values().forEach(e -> e.setReportLag(f.value()));
            case NODE_KILL -> nodes.get(f.target()).scheduler().kill();
            case NODE_START -> startNode(f.target());
            case NODE_FREEZE -> nodes.get(f.target()).scheduler().freeze();
            case NODE_THAW -> nodes.get(f.target()).scheduler().thaw();
            default -> // LOG_DOWN, the only other kind
            log.setDown(f.value() != 0);
        }
    }

    // Configuration

    private void createEnginesAndPublishConfig() {
        TraceHeader header = trace.header();
        appendConfigRecord("base-model", BASE_MODEL, JSON.createObjectNode());
        appendConfigRecord(
                "load-limits",
                REGION,
                JSON.createObjectNode()
                        .put("loadsPerSecond", header.loadsPerSecond())
                        .put("maxInFlight", header.maxInFlight()));
        for (int i = 1; i <= header.engines(); i++) {
            String name = "e" + i;
            engines.put(name, new FakeEngine(scheduler, store, header));
            appendConfigRecord("engine", name, engineValue(name, i));
        }
        TreeSet<String> adapters = new TreeSet<>();
        for (TraceEvent e : trace.events()) {
            if (e instanceof TraceEvent.Arrival) {
                adapters.add(((TraceEvent.Arrival) e).adapter());
            }
        }
        adapters.forEach(this::publishAdapter);
    }

    private ObjectNode engineValue(String name, int number) {
        TraceHeader header = trace.header();
        return JSON.createObjectNode()
                .put("url", "fake://" + name)
                .put("host", "host-" + name)
                .put("dataCentre", REGION + "/" + dataCentre(number))
                .put("baseModel", BASE_MODEL)
                .put("slots", header.slots())
                .put("batchSize", header.batchSize())
                .put("checksFencing", false);
    }

    private void publishAdapter(String adapter) {
        appendConfigRecord("adapter", adapter, JSON.createObjectNode().put("baseModel", BASE_MODEL));
        ObjectNode v = JSON.createObjectNode()
                .put("adapter", adapter)
                .put("version", 1)
                .put("weights", adapter);
        appendConfigRecord("version", adapter + "@1", v);
    }

    private void appendConfigRecord(String kind, String name, ObjectNode value) {
        ObjectNode r = JSON.createObjectNode()
                .put("schema", 2)
                .put("id", kind + "/" + name)
                .put("kind", kind)
                .put("name", name)
                .put("expectedRevision", 0);
        r.set("value", value);
        log.append(Coordinator.CONFIG_STREAM, r.toString().getBytes(StandardCharsets.UTF_8));
    }
}
