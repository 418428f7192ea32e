package org.quetzalvane.core.routing;

import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.quetzalvane.core.cluster.Membership;
import org.quetzalvane.core.cluster.NodeContext;
import org.quetzalvane.core.cluster.NodeInfo;
import org.quetzalvane.core.cluster.RendezvousHash;
import org.quetzalvane.core.config.ConfigTable;
import org.quetzalvane.core.event.EventLog;
import org.quetzalvane.core.event.HybridClock;
import org.quetzalvane.core.model.AdapterVersion;
import org.quetzalvane.core.model.DataCentre;
import org.quetzalvane.core.model.Engine;
import org.quetzalvane.core.ownership.Ownership;
import org.quetzalvane.core.ownership.OwnershipConfig;
import org.quetzalvane.core.ownership.OwnershipRecord;
import org.quetzalvane.core.ownership.OwnershipTable;
import org.quetzalvane.core.port.HostListPort.HostEntry;
import org.quetzalvane.core.port.LogBatch;
import org.quetzalvane.core.port.LogPort;
import org.quetzalvane.core.time.ManualScheduler;

import static org.assertj.core.api.Assertions.assertThat;

/** Selection of the engine for an adapter version. */
class PlacementTest {
    private static final NodeInfo NODE =
            new NodeInfo("n1", 1, "entry", new DataCentre("r1", "a"), "10.0.0.1:1", "10.0.0.1:2");

    private final ConfigTable config = new ConfigTable();
    private final ManualScheduler time = new ManualScheduler();
    private final EventLog events = new EventLog("n1", new HybridClock(time), 10, e -> {});
    private final Membership membership = new Membership(events);
    private final OwnershipTable claims = new OwnershipTable();
    private final Placement placement = new Placement("r1", config, membership, ownership());
    private long claimOffset;

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void routeIsTheFirstRankedEngineThatCanServe(long seed) {
        Random random = new Random(seed);
        Set<String> leaving = new HashSet<>();
        Set<String> owned = new HashSet<>();
        publishModel();
        renewMembership();
        for (int i = 0; i < 60; i++) {
            String name = "e" + i;
            publishEngine(name, random.nextInt(4) == 0 ? "r2" : "r1", random.nextInt(4) == 0 ? "other" : "base");
            if (random.nextBoolean()) {
                claim(name);
                owned.add(name);
            }
            if (random.nextInt(3) == 0) {
                leaving.add("host-" + name);
            }
        }
        membership.updateHostList(
                leaving.stream().map(h -> new HostEntry(h, true)).toList());
        for (int a = 0; a < 50; a++) {
            publish("adapter", "a" + a, "{\"baseModel\":\"base\"}");
            AdapterVersion v = new AdapterVersion("a" + a, 1);
            assertThat(placement.route(v).map(r -> r.engine().name())).isEqualTo(firstRanked(v, leaving, owned));
        }
    }

    @Test
    void routeFollowsTheConfigurationAndTheHostList() {
        publishModel();
        renewMembership();
        publish("adapter", "a", "{\"baseModel\":\"base\"}");
        AdapterVersion v = new AdapterVersion("a", 1);
        assertThat(placement.route(v)).isEmpty();
        publishEngine("e1", "r1", "base");
        claim("e1");
        assertThat(placement.route(v)).isPresent();
        membership.updateHostList(List.of(new HostEntry("host-e1", true)));
        assertThat(placement.route(v)).isEmpty();
    }

    private Optional<String> firstRanked(AdapterVersion v, Set<String> leaving, Set<String> owned) {
        List<Engine> all = config.read(s -> s.engines());
        return RendezvousHash.rank(v.toString(), all, Engine::name).stream()
                .filter(e -> e.baseModel().equals("base"))
                .filter(e -> e.dataCentre().region().equals("r1"))
                .filter(e -> owned.contains(e.name()) && !leaving.contains(e.host()))
                .map(Engine::name)
                .findFirst();
    }

    private Ownership ownership() {
        LogPort log = new LogPort() {
            @Override
            public CompletableFuture<Long> append(String stream, byte[] data) {
                return new CompletableFuture<>();
            }

            @Override
            public CompletableFuture<LogBatch> read(String stream, long from, int maxRecords) {
                return new CompletableFuture<>();
            }
        };
        Ownership.Listener listener = new Ownership.Listener() {
            @Override
            public void acquired(Engine engine, long fencingToken) {}

            @Override
            public void lost(String engine) {}
        };
        NodeContext context = new NodeContext(NODE, time, events);
        return new Ownership(context, OwnershipConfig.of("r1"), log, claims, membership, config, listener);
    }

    private void renewMembership() {
        membership.recordRenewal(NODE, false, Long.MAX_VALUE / 2);
        claims.apply(claimOffset++, new OwnershipRecord.Renewal(NODE, 1, 20_000, false, true), 0);
    }

    private void claim(String engine) {
        List<OwnershipRecord.EngineClaim> one =
                List.of(new OwnershipRecord.EngineClaim(engine, OwnershipTable.UNOWNED));
        claims.apply(claimOffset++, new OwnershipRecord.Claim("n1", 1, one), 0);
    }

    private void publishModel() {
        publish("base-model", "base", "{}");
        publish("base-model", "other", "{}");
    }

    private void publishEngine(String name, String region, String baseModel) {
        publish(
                "engine",
                name,
                "{\"url\":\"http://10.0.0.9:80\",\"host\":\"host-" + name + "\",\"dataCentre\":\"" + region
                        + "/a\",\"baseModel\":\"" + baseModel + "\",\"slots\":2,\"batchSize\":8}");
    }

    private void publish(String kind, String name, String value) {
        String json = "{\"schema\":2,\"id\":\"" + kind + name + "\",\"kind\":\"" + kind + "\",\"name\":\"" + name
                + "\",\"expectedRevision\":0,\"value\":" + value + "}";
        assertThat(config.apply(config.appliedOffset() + 1, json.getBytes(StandardCharsets.UTF_8))
                        .orElseThrow()
                        .accepted())
                .isTrue();
    }

    @Test
    void accessRulesMatchByVersionCallerAndWildcard() {
        publish("access-rule", "r1", "{\"caller\":\"c1\",\"target\":\"adapter:a\",\"fromVersion\":2}");
        publish("access-rule", "r2", "{\"caller\":\"*\",\"target\":\"adapter:open\"}");
        publish("access-rule", "r3", "{\"caller\":\"root\",\"target\":\"adapter:*\"}");
        assertThat(IntStream.rangeClosed(1, 3).filter(v -> allows("c1", "a", v)))
                .containsExactly(2, 3);
        assertThat(allows("c2", "a", 2)).isFalse();
        assertThat(allows("c2", "open", 1)).isTrue();
        assertThat(allows("root", "a", 1)).isTrue();
        String remove = "{\"schema\":2,\"id\":\"x\",\"kind\":\"access-rule\",\"name\":\"r3\",\"expectedRevision\":3,"
                + "\"value\":null}";
        config.apply(3, remove.getBytes(StandardCharsets.UTF_8));
        assertThat(allows("root", "a", 1)).isFalse();
    }

    private boolean allows(String caller, String adapter, int version) {
        return config.read(s -> s.allowsAdapter(caller, new AdapterVersion(adapter, version)));
    }
}
