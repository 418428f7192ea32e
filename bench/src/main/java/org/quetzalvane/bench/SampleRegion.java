package org.quetzalvane.bench;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.quetzalvane.core.cluster.Membership;
import org.quetzalvane.core.cluster.NodeContext;
import org.quetzalvane.core.cluster.NodeInfo;
import org.quetzalvane.core.config.ConfigTable;
import org.quetzalvane.core.event.EventLog;
import org.quetzalvane.core.event.HybridClock;
import org.quetzalvane.core.model.DataCentre;
import org.quetzalvane.core.model.Engine;
import org.quetzalvane.core.ownership.Ownership;
import org.quetzalvane.core.ownership.OwnershipConfig;
import org.quetzalvane.core.ownership.OwnershipRecord;
import org.quetzalvane.core.ownership.OwnershipRecordCodec;
import org.quetzalvane.core.ownership.OwnershipTable;
import org.quetzalvane.core.port.LogBatch;
import org.quetzalvane.core.port.LogPort;
import org.quetzalvane.core.routing.Placement;
import org.quetzalvane.core.time.ManualScheduler;

/** One node's view of a region of nodes that own all its engines. Not thread-safe. */
final class SampleRegion {
    private final ManualScheduler time = new ManualScheduler();
    private final OwnershipTable claims = new OwnershipTable();
    private final NodeContext context;
    private final Membership membership;
    private long offset;

    SampleRegion() {
        EventLog events = new EventLog("n0", new HybridClock(time), 1000, e -> {});
        membership = new Membership(events);
        context = new NodeContext(node(0), time, events);
    }

    /** Adds nodes with their leases. */
    SampleRegion nodes(int from, int to) {
        for (int i = from; i < to; i++) {
            membership.recordRenewal(node(i), false, Long.MAX_VALUE / 2);
            claims.apply(offset++, new OwnershipRecord.Renewal(node(i), 1, 20_000, false, true), 0);
        }
        return this;
    }

    /** Lets the given number of nodes claim engines in turn. */
    SampleRegion claim(int fromEngine, int toEngine, int nodes) {
        for (int i = fromEngine; i < toEngine; i++) {
            List<OwnershipRecord.EngineClaim> one = new ArrayList<>();
            one.add(new OwnershipRecord.EngineClaim(SampleConfig.engine(i), OwnershipTable.UNOWNED));
            claims.apply(offset++, new OwnershipRecord.Claim("n" + i % nodes, 1, one), 0);
        }
        return this;
    }

    Placement placement(ConfigTable config) {
        return new Placement(SampleConfig.REGION, config, membership, ownership(config));
    }

    /** The part in ownership of the region's first node, which reads back its own records at once. */
    Ownership ownership(ConfigTable config) {
        EchoLog log = new EchoLog();
        Ownership ownership = new Ownership(
                context,
                OwnershipConfig.of(SampleConfig.REGION),
                log,
                claims,
                membership,
                config,
                new SilentListener());
        log.reader = ownership;
        return ownership;
    }

    /** Moves the clock of the region's first node. */
    void advance(Duration step) {
        time.advance(step);
    }

    /** Lets a node read a claim of one engine by another node that had released it. */
    void takeOver(Ownership reader, int engine, int node) {
        String name = SampleConfig.engine(engine);
        String holder = claims.owner(name).orElseThrow().node();
        reader.apply(offset++, OwnershipRecordCodec.encode(new OwnershipRecord.Release(holder, 1, List.of(name))));
        OwnershipRecord.EngineClaim one = new OwnershipRecord.EngineClaim(name, OwnershipTable.UNOWNED);
        reader.apply(offset++, OwnershipRecordCodec.encode(new OwnershipRecord.Claim("n" + node, 1, List.of(one))));
    }

    static NodeInfo node(int i) {
        DataCentre place = new DataCentre(SampleConfig.REGION, "dc" + i % 4);
        String ip = "10.1." + i / 250 + "." + i % 250;
        return new NodeInfo("n" + i, 1, "entry-" + i, place, ip + ":7001", ip + ":7003");
    }

    private final class EchoLog implements LogPort {
        private Ownership reader;

        @Override
        public CompletableFuture<Long> append(String stream, byte[] data) {
            long at = offset++;
            return CompletableFuture.completedFuture(at).whenComplete((o, failure) -> reader.apply(at, data));
        }

        @Override
        public CompletableFuture<LogBatch> read(String stream, long from, int maxRecords) {
            return new CompletableFuture<>();
        }
    }

    private static final class SilentListener implements Ownership.Listener {

        @Override
        public void acquired(Engine engine, long fencingToken) {}

        @Override
        public void lost(String engine) {}
    }
}
