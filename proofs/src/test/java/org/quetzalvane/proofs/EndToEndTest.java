package org.quetzalvane.proofs;

import java.io.IOException;
import java.time.Duration;

import com.fasterxml.jackson.databind.JsonNode;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.quetzalvane.core.ResultCode;
import org.quetzalvane.standins.harness.CallerClient;
import org.quetzalvane.standins.harness.ConfigRecords;
import org.quetzalvane.standins.harness.LocalCluster;
import org.quetzalvane.standins.harness.Polling;

import static org.assertj.core.api.Assertions.assertThat;

/** Publishing, resolving, loading, streaming, errors of callers and failover through separate processes. */
class EndToEndTest {
    private static final String TOKEN = "t";
    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    private static LocalCluster cluster;

    @BeforeAll
    static void start() throws IOException {
        cluster = LocalCluster.builder().nodes(3).engines(2).start();
        cluster.publishEndpointsAndAdapters(TOKEN, "a1");
        cluster.publish(ConfigRecords.adapterVersion("a1", 2));
    }

    @AfterAll
    static void stop() {
        cluster.close();
    }

    @Test
    void streamsRequestedVersion() {
        CallerClient.Result r = cluster.caller(TOKEN).complete("a1", 2, "p", 5);
        assertThat(r.isComplete()).as("%s", r).isTrue();
        assertThat(r.text().split(" ")).hasSize(5).allMatch(t -> t.startsWith("a1@2#"));
    }

    @Test
    void refusesRequestsThatAreNotAllowed() {
        assertThat(cluster.caller("x").resolve("a1", 1).code()).isEqualTo(ResultCode.UNAUTHENTICATED.number());
        assertThat(cluster.caller(TOKEN).resolve("a1", 3).code()).isEqualTo(ResultCode.UNKNOWN_VERSION.number());
        assertThat(cluster.caller(TOKEN).resolve("a9", 1).code()).isEqualTo(ResultCode.UNKNOWN_ADAPTER.number());
        assertThat(cluster.caller(TOKEN).resolveService("other").code()).isEqualTo(ResultCode.ACCESS_DENIED.number());
    }

    @Test
    void anyNodeForwardsToTheOwner() {
        for (String node : cluster.nodes()) {
            CallerClient.Result r = cluster.caller(TOKEN).completeAt(cluster.callerAddress(node), "a1", 1, "p", 4);
            assertThat(r.isComplete()).as("%s: %s", node, r).isTrue();
            assertThat(r.text().split(" ")).hasSize(4).allMatch(t -> t.startsWith("a1@1#"));
        }
    }

    @Test
    void runsNonIdempotentCallOncePerKey() {
        CallerClient caller = cluster.caller(TOKEN);
        JsonNode resolved = caller.resolveService("booking").body();
        String address = resolved.path("address").asText();
        String key = resolved.path("idempotency_key").asText();
        CallerClient.Result first = caller.callAt(address, "booking", key, "{\"hut\":1}");
        CallerClient.Result retried = caller.callAt(address, "booking", key, "{\"hut\":1}");
        assertThat(first.isComplete()).isTrue();
        assertThat(retried.body()).isEqualTo(first.body());
        assertThat(cluster.get(cluster.serviceUrl() + "/control/ran").path("ran"))
                .hasSize(1);
    }

    @Test
    void continuesServingAfterTheOwnerIsKilled() throws IOException {
        CallerClient.Result resolved = cluster.caller(TOKEN).resolve("a1", 1);
        String owner = resolved.body().path("node").asText();
        cluster.child(owner).kill();
        CallerClient caller = cluster.caller(TOKEN);
        Polling.waitUntil("another node serves requests", TIMEOUT, () -> caller.complete("a1", 1, "p", 3)
                .isComplete());
        cluster.startNode(owner);
        cluster.awaitReady(owner);
    }
}
