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
 * Replays one trace against coordinators on the paused clock and reports what it measured.
 *
 * <p>The same trace and configuration give the same report, byte for byte. Used by one thread.
 */
public final class TraceReplayer {
    static final String REGION = "r1";

    private static final String BASE_MODEL = "base";
    private static final Duration WARM_UP = Duration.ofSeconds(10);
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final Trace trace;
    private final NodeConfig config;
    private final ManualScheduler time = new ManualScheduler();
    private final FakeLog log = new FakeLog();
    private final FakeStore store;
    private final Map<String, FakeEngine> engines = new LinkedHashMap<>();
    private final Map<String, ReplayNode> nodes = new TreeMap<>();
    private final Measures measures = new Measures();
    private final ReplayNode.World world;

    private TraceReplayer(Trace trace, NodeConfig config) {
        this.trace = trace;
        this.config = config;
        this.store = new FakeStore(time, trace.header());
        HostListPort hosts = () -> CompletableFuture.completedFuture(java.util.List.of());
        this.world = new ReplayNode.World(time, log, engines, hosts, nodes, measures);
    }

    /** Settings of the nodes in a replay, with the timing that a cluster of this size runs at. */
    public static NodeConfig nodeConfig() {
        return NodeConfig.of(REGION)
                .withOwnership(OwnershipConfig.of(REGION).withLease(Duration.ofSeconds(6)))
                .withPollInterval(Duration.ofMillis(250));
    }

    /** The same with the default decisions and the weight of the trace's user. */
    public static NodeConfig nodeConfig(TraceHeader header) {
        return nodeConfig().withDispatch(DispatchConfig.defaults().withBatchWeight(header.batchWeight()));
    }

    /** Replays a trace with the given settings of the nodes. */
    public static ReplayReport replay(Trace trace, NodeConfig config) {
        return new TraceReplayer(trace, config).run();
    }

    private ReplayReport run() {
        publish();
        for (int i = 1; i <= trace.header().nodes(); i++) {
            startNode("n" + i);
        }
        time.advance(WARM_UP);
        long start = time.nanoTime();
        ReplayCaller callers = new ReplayCaller(time, nodes, measures);
        for (TraceEvent e : trace.events()) {
            time.runUntil(start + e.at() * NANOS_PER_MILLI);
            if (e instanceof TraceEvent.Arrival) {
                callers.arrive((TraceEvent.Arrival) e);
            } else {
                fault((TraceEvent.Fault) e);
            }
        }
        time.runUntil(start + trace.header().endMillis() * NANOS_PER_MILLI);
        return ReplayReport.of(trace.header(), measures, store, engines.values(), log.appends());
    }

    private void startNode(String name) {
        int number = Integer.parseInt(name.substring(1));
        ReplayNode node = new ReplayNode(name, dataCentre(number), world, config);
        nodes.put(name, node);
        node.coordinator().start();
    }

    private String dataCentre(int number) {
        return "dc" + (number % trace.header().dataCentres());
    }

    private void fault(TraceEvent.Fault f) {
        switch (f.fault()) {
            case ENGINE_RESTART -> engines.get(f.target()).restart();
            case FAIL_LOADS -> store.failNext(f.value());
            case STORE_SLOW -> store.slow(f.value());
            case STORE_DOWN -> store.down(f.value() != 0);
            case REPORT_LAG -> engines.values().forEach(e -> e.reportLag(f.value()));
            case NODE_KILL -> nodes.get(f.target()).gate().kill();
            case NODE_START -> startNode(f.target());
            case NODE_FREEZE -> nodes.get(f.target()).gate().freeze();
            case NODE_THAW -> nodes.get(f.target()).gate().thaw();
            default -> log.down(f.value() != 0);
        }
    }

    // Configuration

    private void publish() {
        TraceHeader h = trace.header();
        publish("base-model", BASE_MODEL, JSON.createObjectNode());
        publish(
                "load-limits",
                REGION,
                JSON.createObjectNode()
                        .put("loadsPerSecond", h.loadsPerSecond())
                        .put("maxInFlight", h.maxInFlight()));
        for (int i = 1; i <= h.engines(); i++) {
            String name = "e" + i;
            engines.put(name, new FakeEngine(time, store, h));
            publish("engine", name, engine(name, i));
        }
        TreeSet<String> adapters = new TreeSet<>();
        for (TraceEvent e : trace.events()) {
            if (e instanceof TraceEvent.Arrival) {
                adapters.add(((TraceEvent.Arrival) e).adapter());
            }
        }
        adapters.forEach(this::publishAdapter);
    }

    private ObjectNode engine(String name, int number) {
        TraceHeader h = trace.header();
        return JSON.createObjectNode()
                .put("url", "fake://" + name)
                .put("host", "host-" + name)
                .put("dataCentre", REGION + "/" + dataCentre(number))
                .put("baseModel", BASE_MODEL)
                .put("slots", h.slots())
                .put("batchSize", h.batchSize())
                .put("checksFencing", false);
    }

    private void publishAdapter(String adapter) {
        publish("adapter", adapter, JSON.createObjectNode().put("baseModel", BASE_MODEL));
        ObjectNode v = JSON.createObjectNode()
                .put("adapter", adapter)
                .put("version", 1)
                .put("weights", adapter);
        publish("version", adapter + "@1", v);
    }

    private void publish(String kind, String name, ObjectNode value) {
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
