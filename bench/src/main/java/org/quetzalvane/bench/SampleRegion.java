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

/** Builds the ownership state of one node of a sample region. Not thread-safe. */
final class SampleRegion {
    private final ManualScheduler time = new ManualScheduler();
    private final OwnershipTable ownershipTable = new OwnershipTable();
    private final NodeContext context;
    private final Membership membership;
    private long offset;

    SampleRegion() {
        EventLog events = new EventLog("n0", new HybridClock(time), 1000, e -> {});
        membership = new Membership(events);
        context = new NodeContext(node(0), time, events);
    }

    /** Adds nodes, each with a lease. */
    SampleRegion addNodes(int from, int to) {
        for (int i = from; i < to; i++) {
            membership.recordRenewal(node(i), false, Long.MAX_VALUE / 2);
            ownershipTable.apply(offset++, new OwnershipRecord.Renewal(node(i), 1, 20_000, false, true), 0);
        }
        return this;
    }

    /**
     * Assigns the engines in [{@code fromEngine}, {@code toEngine}) to the given number of nodes in turn, by a claim
     * each.
     */
    SampleRegion assignEngines(int fromEngine, int toEngine, int nodes) {
        for (int i = fromEngine; i < toEngine; i++) {
            List<OwnershipRecord.EngineClaim> claim = new ArrayList<>();
            claim.add(new OwnershipRecord.EngineClaim(SampleConfig.engineName(i), OwnershipTable.UNOWNED));
            ownershipTable.apply(offset++, new OwnershipRecord.Claim("n" + i % nodes, 1, claim), 0);
        }
        return this;
    }

    Placement placement(ConfigTable config) {
        return new Placement(SampleConfig.REGION, config, membership, ownership(config));
    }

    /** The ownership of the first node, which reads back its own records at once. */
    Ownership ownership(ConfigTable config) {
        LoopbackLog log = new LoopbackLog();
        Ownership ownership = new Ownership(
                context,
                OwnershipConfig.of(SampleConfig.REGION),
                log,
                ownershipTable,
                membership,
                config,
                new NoOpListener());
        log.reader = ownership;
        return ownership;
    }

    /** Advances the clock of the first node. */
    void advance(Duration step) {
        time.advance(step);
    }

    /** Applies the release of an engine by its owner, and its claim by another node. */
    void transfer(Ownership reader, int engine, int node) {
        String name = SampleConfig.engineName(engine);
        String owner = ownershipTable.owner(name).orElseThrow().node();
        reader.apply(offset++, OwnershipRecordCodec.encode(new OwnershipRecord.Release(owner, 1, List.of(name))));
        OwnershipRecord.EngineClaim claim = new OwnershipRecord.EngineClaim(name, OwnershipTable.UNOWNED);
        reader.apply(offset++, OwnershipRecordCodec.encode(new OwnershipRecord.Claim("n" + node, 1, List.of(claim))));
    }

    static NodeInfo node(int i) {
        DataCentre dataCentre = new DataCentre(SampleConfig.REGION, "dc" + i % 4);
        String ip = "10.1." + i / 250 + "." + i % 250;
        return new NodeInfo("n" + i, 1, "entry-" + i, dataCentre, ip + ":7001", ip + ":7003");
    }

    private final class LoopbackLog implements LogPort {
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

    private static final class NoOpListener implements Ownership.Listener {

        @Override
        public void acquired(Engine engine, long fencingToken) {}

        @Override
        public void lost(String engine) {}
    }
}
