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

/** What each object of a node's state costs: bytes of heap, bytes on the wire, processor time. Not thread-safe. */
final class SlopeBench {
    private static final int[] SIZES = {10_000, 40_000, 130_000};
    private static final int[] SMALL_SIZES = {500, 2_000, 8_000};
    private static final int[] PEERS = {70, 350, 1_400};
    private static final int GC_ROUNDS = 4;
    private static final ObjectMapper MSGPACK = new ObjectMapper(new MessagePackFactory());

    private final Timed timed;
    private Object kept;

    SlopeBench(SystemScheduler clock) {
        this.timed = new Timed(clock);
    }

    void run() {
        System.out.println("| object | count | bytes of heap each |\n|---|---|---|");
        heap("adapter", SIZES, n -> new SampleConfig().adapters(0, n), SampleConfig::new);
        for (int n : SIZES) {
            heap("version", n, () -> new SampleConfig().adapters(0, n), () -> new SampleConfig()
                    .adapters(0, n)
                    .versions(0, n));
        }
        heap("access rule", SIZES, n -> new SampleConfig().rules(0, n), SampleConfig::new);
        heap("caller", SMALL_SIZES, n -> new SampleConfig().callers(0, n), SampleConfig::new);
        heap("engine", SMALL_SIZES, n -> new SampleConfig().engines(0, n), SampleConfig::new);
        heap("peer with its lease", PEERS, n -> new SampleRegion().nodes(0, n), SampleRegion::new);
        for (int n : SMALL_SIZES) {
            heap("claim", n, () -> new SampleRegion().nodes(0, 70), () -> new SampleRegion()
                    .nodes(0, 70)
                    .claim(0, n, 70));
        }
        bytes();
        processor();
    }

    // Heap

    private void heap(String name, int[] sizes, IntFunction<Object> filled, Supplier<Object> empty) {
        for (int n : sizes) {
            heap(name, n, empty, () -> filled.apply(n));
        }
    }

    private void heap(String name, int count, Supplier<Object> without, Supplier<Object> with) {
        long difference = held(with) - held(without);
        System.out.printf(Locale.ROOT, "| %s | %d | %d |%n", name, count, Math.round((double) difference / count));
    }

    private long held(Supplier<Object> state) {
        kept = null;
        long before = used();
        kept = state.get();
        return used() - before;
    }

    private static long used() {
        for (int i = 0; i < GC_ROUNDS; i++) {
            System.gc();
        }
        Runtime r = Runtime.getRuntime();
        return r.totalMemory() - r.freeMemory();
    }

    // Messages

    private void bytes() {
        System.out.println("\n| message | bytes |\n|---|---|");
        PeerMessage heartbeat = new PeerMessage.Heartbeat(SampleRegion.node(7), false, 1_000_000, 1L << 56, List.of());
        size("heartbeat between nodes (MessagePack)", msgpack(heartbeat));
        size("load permit asked for (MessagePack)", msgpack(new PeerMessage.LoadPermitRequest("n7", 1.5)));
        size("load permit given (MessagePack)", msgpack(new PeerMessage.LoadPermitReply(true, 0)));
        size("load ended (MessagePack)", msgpack(new PeerMessage.LoadPermitRelease("n7")));
        OwnershipRecord renewal = new OwnershipRecord.Renewal(SampleRegion.node(7), 1000, 20_000, false, true);
        size("lease renewal on the log (JSON)", OwnershipRecordCodec.encode(renewal).length);
        OwnershipRecord claim = new OwnershipRecord.Claim(
                "n7", 1, java.util.List.of(new OwnershipRecord.EngineClaim(SampleConfig.engine(7), 1_000_000)));
        size("claim of one engine on the log (JSON)", OwnershipRecordCodec.encode(claim).length);
        size("new adapter on the log (JSON)", utf8("adapter", "a7", "{\"baseModel\":\"base\"}"));
        String version = "{\"adapter\":\"a7\",\"version\":1,\"weights\":\"w/a7-1\"}";
        size("new version on the log (JSON)", utf8("version", "a7@1", version));
    }

    private static int utf8(String kind, String name, String value) {
        return SampleConfig.record(1_000_000, kind, name, value).getBytes(StandardCharsets.UTF_8).length;
    }

    private static int msgpack(PeerMessage message) {
        try {
            return MSGPACK.writeValueAsBytes(message).length;
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }

    private static void size(String name, int bytes) {
        System.out.println("| " + name + " | " + bytes + " |");
    }

    // Processor time

    private void processor() {
        System.out.println();
        System.out.println(Timed.HEADER);
        byte[] renewal = OwnershipRecordCodec.encode(
                new OwnershipRecord.Renewal(SampleRegion.node(7), 1000, 20_000, false, true));
        timed.row("decode of a lease renewal", i -> OwnershipRecordCodec.decode(renewal));
        PeerMessage heartbeat = new PeerMessage.Heartbeat(SampleRegion.node(7), false, 1_000_000, 1L << 56, List.of());
        timed.row("encode of a heartbeat", i -> msgpack(heartbeat));
        ConfigTable table =
                new SampleConfig().adapters(0, 1000).versions(0, 1000).table();
        timed.row("lookup of a version", i -> {
            AdapterVersion v = new AdapterVersion("a" + i % 1000, 1);
            if (!table.read(s -> s.version(v).isPresent())) {
                throw new IllegalStateException(v.toString());
            }
        });
    }
}
