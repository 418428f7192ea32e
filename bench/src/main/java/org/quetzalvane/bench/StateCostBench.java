package org.quetzalvane.bench;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.function.IntFunction;
import java.util.function.Supplier;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.msgpack.jackson.dataformat.MessagePackFactory;
import org.quetzalvane.core.config.ConfigTable;
import org.quetzalvane.core.model.AdapterVersion;
import org.quetzalvane.core.ownership.OwnershipRecord;
import org.quetzalvane.core.ownership.OwnershipRecordCodec;
import org.quetzalvane.core.peer.PeerMessage;
import org.quetzalvane.core.time.SystemScheduler;

/**
 * Measures the cost of each object in the state of a node: heap size, message sizes and
 * latency of operations. Not thread-safe.
 */
final class StateCostBench {
    private static final int[] COUNTS = {10_000, 40_000, 130_000};
    private static final int[] SMALL_COUNTS = {500, 2_000, 8_000};
    private static final int[] PEER_COUNTS = {70, 350, 1_400};
    private static final int GC_ROUNDS = 4;
    private static final ObjectMapper MSGPACK = new ObjectMapper(new MessagePackFactory());

    private final OperationTimer timer;
    private Object retained;

    StateCostBench(SystemScheduler clock) {
        this.timer = new OperationTimer(clock);
    }

    void run() {
        System.out.println("| object | count | bytes of heap each |\n|---|---|---|");
        measureHeap("adapter", COUNTS, n -> new SampleConfig().adapters(0, n), SampleConfig::new);
        for (int n : COUNTS) {
            measureHeap("version", n, () -> new SampleConfig().adapters(0, n), () -> new SampleConfig()
                    .adapters(0, n)
                    .versions(0, n));
        }
        measureHeap("access rule", COUNTS, n -> new SampleConfig().rules(0, n), SampleConfig::new);
        measureHeap("caller", SMALL_COUNTS, n -> new SampleConfig().callers(0, n), SampleConfig::new);
        measureHeap("engine", SMALL_COUNTS, n -> new SampleConfig().engines(0, n), SampleConfig::new);
        measureHeap("peer with its lease", PEER_COUNTS, n -> new SampleRegion().addNodes(0, n), SampleRegion::new);
        for (int n : SMALL_COUNTS) {
            measureHeap("claim", n, () -> new SampleRegion().addNodes(0, 70), () -> new SampleRegion()
                    .addNodes(0, 70)
                    .assignEngines(0, n, 70));
        }
        measureMessages();
        measureLatency();
    }

    // Heap size

    private void measureHeap(String name, int[] sizes, IntFunction<Object> filled, Supplier<Object> empty) {
        for (int n : sizes) {
            measureHeap(name, n, empty, () -> filled.apply(n));
        }
    }

    private void measureHeap(String name, int count, Supplier<Object> without, Supplier<Object> with) {
        long difference = heapBytes(with) - heapBytes(without);
        System.out.printf(Locale.ROOT, "| %s | %d | %d |%n", name, count, Math.round((double) difference / count));
    }

    private long heapBytes(Supplier<Object> state) {
        retained = null;
        long before = usedHeapBytes();
        retained = state.get();
        return usedHeapBytes() - before;
    }

    private static long usedHeapBytes() {
        for (int i = 0; i < GC_ROUNDS; i++) {
            System.gc();
        }
        Runtime r = Runtime.getRuntime();
        return r.totalMemory() - r.freeMemory();
    }

    // Message sizes

    private void measureMessages() {
        System.out.println("\n| message | bytes |\n|---|---|");
        PeerMessage heartbeat = new PeerMessage.Heartbeat(SampleRegion.node(7), false, 1_000_000, 1L << 56, List.of());
        printSize("heartbeat between nodes (MessagePack)", messageBytes(heartbeat));
        printSize("load permit request (MessagePack)", messageBytes(new PeerMessage.LoadPermitRequest("n7", 1.5)));
        printSize("load permit reply (MessagePack)", messageBytes(new PeerMessage.LoadPermitReply(true, 0)));
        printSize("load permit release (MessagePack)", messageBytes(new PeerMessage.LoadPermitRelease("n7")));
        OwnershipRecord renewal = new OwnershipRecord.Renewal(SampleRegion.node(7), 1000, 20_000, false, true);
        printSize("lease renewal on the log (JSON)", OwnershipRecordCodec.encode(renewal).length);
        OwnershipRecord claim = new OwnershipRecord.Claim(
                "n7", 1, java.util.List.of(new OwnershipRecord.EngineClaim(SampleConfig.engineName(7), 1_000_000)));
        printSize("claim of one engine on the log (JSON)", OwnershipRecordCodec.encode(claim).length);
        printSize("new adapter on the log (JSON)", recordBytes("adapter", "a7", "{\"baseModel\":\"base\"}"));
        String version = "{\"adapter\":\"a7\",\"version\":1,\"weights\":\"w/a7-1\"}";
        printSize("new version on the log (JSON)", recordBytes("version", "a7@1", version));
    }

    private static int recordBytes(String kind, String name, String value) {
        return SampleConfig.record(1_000_000, kind, name, value).getBytes(StandardCharsets.UTF_8).length;
    }

    private static int messageBytes(PeerMessage message) {
        try {
            return MSGPACK.writeValueAsBytes(message).length;
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }

    private static void printSize(String name, int bytes) {
        System.out.println("| " + name + " | " + bytes + " |");
    }

    // Latency of operations

    private void measureLatency() {
        System.out.println();
        System.out.println(OperationTimer.HEADER);
        byte[] renewal = OwnershipRecordCodec.encode(
                new OwnershipRecord.Renewal(SampleRegion.node(7), 1000, 20_000, false, true));
        timer.measure("decode of a lease renewal", i -> OwnershipRecordCodec.decode(renewal));
        PeerMessage heartbeat = new PeerMessage.Heartbeat(SampleRegion.node(7), false, 1_000_000, 1L << 56, List.of());
        timer.measure("encode of a heartbeat", i -> messageBytes(heartbeat));
        ConfigTable table =
                new SampleConfig().adapters(0, 1000).versions(0, 1000).table();
        timer.measure("lookup of a version", i -> {
            AdapterVersion v = new AdapterVersion("a" + i % 1000, 1);
            if (!table.read(s -> s.version(v).isPresent())) {
                throw new IllegalStateException(v.toString());
            }
        });
    }
}
