package org.quetzalvane.entry;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import org.quetzalvane.core.choice.AdapterDemand;
import org.quetzalvane.core.choice.EngineSelector;
import org.quetzalvane.core.choice.OutlierDetector;
import org.quetzalvane.core.choice.PrefillEstimator;
import org.quetzalvane.core.fleet.Endpoint;
import org.quetzalvane.core.fleet.EndpointTable;
import org.quetzalvane.core.limit.EndpointPermits;
import org.quetzalvane.core.routes.AdapterRef;
import org.quetzalvane.core.routes.RequiredVersions;
import org.quetzalvane.core.store.StoreRecord;
import org.quetzalvane.core.team.PeerMessage;
import org.quetzalvane.platform.StoreClient;
import org.quetzalvane.transport.HttpClient;
import org.quetzalvane.transport.NettyEventLoop;

/**
 * Prints the processor time and the allocated bytes of the regular work of a node and of the choice of an engine, as
 * rows of docs/MEASUREMENTS-MICRO.md; the argument, if any, selects a number of nodes. Run it with the options of a node: -XX:TieredStopAtLevel=1 -XX:+UseSerialGC.
 */
final class NodeCostMain {
    /** Nodes and engines. */
    private static final int[][] SIZES = {{9, 12}, {70, 63}, {138, 98}};

    private static final int WARM_UP_INTERVALS = 60;
    private static final int INTERVALS = 100;
    private static final int REQUESTS = 20_000;
    private static final int RECORD_BATCHES = 100;

    private NodeCostMain() {}

    public static void main(String[] args) throws Exception {
        System.out.println("| work | us | KB allocated | times |\n|---|---|---|---|");
        for (int[] size : SIZES) {
            if (args.length > 0 && !args[0].equals(Integer.toString(size[0]))) {
                continue;
            }
            String label = ", " + size[0] + " nodes, " + size[1] + " engines";
            SimulatedNodes nodes = new SimulatedNodes(size[0], size[1]);
            measureRounds(nodes, label);
            measureChoice(nodes, label);
            measureEntries(nodes.engines, label);
        }
        System.exit(0);
    }

    private static void measureRounds(SimulatedNodes nodes, String label) {
        for (int i = 0; i < WARM_UP_INTERVALS; i++) {
            nodes.interval();
        }
        nodes.resetMeters();
        for (int i = 0; i < INTERVALS; i++) {
            nodes.interval();
        }
        long hubs = nodes.hubs();
        nodes.meters.forEach((name, meter) -> {
            long count = name.startsWith("hub") ? hubs : nodes.nodes.size() - hubs;
            if (!meter.isEmpty()) {
                System.out.println(meter.row(name + " per round" + label, (double) count * INTERVALS));
            }
        });
    }

    private static void measureChoice(SimulatedNodes nodes, String label) {
        SimulatedNodes.Node member = nodes.nodes.values().stream()
                .filter(n -> !n.exchange.isHub())
                .findFirst()
                .orElseGet(() -> nodes.nodes.values().iterator().next());
        EndpointTable table = new EndpointTable(nodes.clock);
        nodes.engines.forEach(table::apply);
        AdapterDemand demand = new AdapterDemand(nodes.clock);
        EngineSelector selector = new EngineSelector(
                new EngineSelector.Inputs(
                        member.loads,
                        member.usage,
                        demand,
                        member.residency,
                        new OutlierDetector(nodes.clock),
                        new PrefillEstimator(),
                        EndpointPermits.UNLIMITED),
                "zone-1",
                e -> member.assigned.find(e.id()) != null
                        || member.peers.ownerOf(member.lease.partitionOf(e.id())) != null);
        Random random = new Random(7);
        CostMeter usable = new CostMeter();
        CostMeter select = new CostMeter();
        for (int i = 0; i < 2 * REQUESTS; i++) {
            if (i == REQUESTS) {
                usable.reset();
                select.reset();
            }
            // Half of the requests name an adapter that is resident on some engine.
            Endpoint any = nodes.engines.get(random.nextInt(nodes.engines.size()));
            String resident =
                    any.held().get(SimulatedNodes.MODEL).keySet().iterator().next();
            String adapter = i % 2 == 0 ? resident : "adapter-" + random.nextInt(10_000);
            AdapterRef ref = new AdapterRef(SimulatedNodes.MODEL, adapter);
            usable.begin();
            List<Endpoint> candidates = table.usable("engines", null);
            usable.end();
            EngineSelector.Need need = new EngineSelector.Need("r" + i, ref, RequiredVersions.ANY_VERSION, 800, 1_460);
            select.begin();
            selector.select(candidates, need, Set.of());
            select.end();
        }
        System.out.println(usable.row("EndpointTable.usable per request" + label, REQUESTS));
        System.out.println(select.row("EngineSelector.select per request" + label, REQUESTS));
    }

    /** One second of entries of all engines: encoded once by a hub, decoded and applied by a member. */
    private static void measureEntries(List<Endpoint> engines, String label) throws Exception {
        NettyEventLoop loop = new NettyEventLoop();
        SimulatedNodes.Node node =
                new SimulatedNodes(1, engines.size()).nodes.values().iterator().next();
        PlatformState[] state = new PlatformState[1];
        StoreClient store = new StoreClient(
                new HttpClient(loop, 100),
                loop,
                "127.0.0.1:9",
                new StoreClient.Timeouts(100, 100),
                new StoreEraLog((code, subject, fields) -> {}, () -> {}));
        state[0] = new PlatformState(
                loop,
                store,
                (code, subject, fields) -> {},
                () -> node.assigned.reconcile(state[0].endpoints().ready()),
                () -> false,
                TestSettings.of("n", Set.of(), "127.0.0.1:9"));
        PeerCodec codec = new PeerCodec();
        CostMeter encode = new CostMeter();
        CostMeter decode = new CostMeter();
        CostMeter apply = new CostMeter();
        for (int batch = 0; batch < 2 * RECORD_BATCHES; batch++) {
            if (batch == RECORD_BATCHES) {
                List.of(encode, decode, apply).forEach(CostMeter::reset);
            }
            List<StoreRecord> records = new ArrayList<>();
            for (Endpoint e : engines) {
                records.add(new StoreRecord(e.id(), entry(e), (long) batch * engines.size() + records.size()));
            }
            encode.begin();
            byte[] frame = codec.encode(new PeerMessage.Records("10.20.0.10:7400", "endpoints", false, records, 0));
            encode.end();
            decode.begin();
            PeerMessage.Records received = (PeerMessage.Records) codec.decode(frame);
            decode.end();
            apply.begin();
            state[0].followers().get("endpoints").applyFromPeer(received.records());
            apply.end();
        }
        System.out.println(encode.row("encode of entries per second and receiver" + label, RECORD_BATCHES));
        System.out.println(decode.row("decode of entries per second" + label, RECORD_BATCHES));
        System.out.println(apply.row("apply of entries per second" + label, RECORD_BATCHES));
        loop.close();
    }

    private static byte[] entry(Endpoint e) {
        StringBuilder adapters = new StringBuilder();
        Map<String, Integer> held = e.held().get(SimulatedNodes.MODEL);
        held.forEach((name, version) -> adapters.append(adapters.length() == 0 ? "" : ",")
                .append('"')
                .append(name)
                .append('@')
                .append(version)
                .append('"'));
        return ("{\"service\":\"engines\",\"address\":\"" + e.address() + ":8000\",\"zone\":\"" + e.zone()
                        + "\",\"version\":\"v1\",\"state\":\"ready\",\"slots\":16,\"born\":" + e.bornMs()
                        + ",\"models\":[{\"name\":\"" + SimulatedNodes.MODEL + "\",\"adapters\":[" + adapters + "]}]}")
                .getBytes(StandardCharsets.UTF_8);
    }
}
