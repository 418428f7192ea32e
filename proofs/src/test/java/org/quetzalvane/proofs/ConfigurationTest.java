package org.quetzalvane.proofs;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.stream.Collectors;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.quetzalvane.adapters.http.Json;
import org.quetzalvane.core.ResultCode;
import org.quetzalvane.standins.harness.ConfigRecords;
import org.quetzalvane.standins.harness.LocalCluster;
import org.quetzalvane.standins.harness.Polling;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Configuration through separate processes: lost append responses, log outages, concurrent publishes and both record
 * schemas.
 */
class ConfigurationTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(30);
    private static LocalCluster cluster;

    @BeforeAll
    static void start() throws IOException {
        cluster = LocalCluster.builder().nodes(3).engines(1).start();
        cluster.publishEndpoints();
    }

    @AfterAll
    static void stop() {
        cluster.close();
    }

    @AfterEach
    void clearFaults() {
        List.of("log", "n2", "n3").forEach(c -> cluster.child(c).thaw());
        cluster.setFault(cluster.logUrl(), "down", 0);
        cluster.nodes().forEach(cluster::awaitReady);
    }

    @Test
    void publishRetriesAppendsWithLostResponsesAndWaitsForEveryNode() throws IOException {
        long before = logEnd();
        cluster.setFault(cluster.logUrl(), "lose_answers.config", 2);
        assertThat(cluster.tryPublish(ConfigRecords.adapter("lost", LocalCluster.BASE_MODEL)))
                .isZero();
        assertThat(logEnd() - before).isEqualTo(3);
        assertThat(Files.readString(cluster.directory().resolve("cli.log")))
                .contains("adapter/lost: in force on 3 of 3 nodes");
    }

    @Test
    void changeReadByOneNodeReachesAllNodesDuringAnOutage() throws IOException {
        long end = logEnd();
        cluster.child("n2").freeze();
        cluster.child("n3").freeze();
        cluster.append("config", Json.text(ConfigRecords.adapter("outage", LocalCluster.BASE_MODEL)));
        awaitOffset("n1", end);
        cluster.setFault(cluster.logUrl(), "down", 1);
        cluster.child("n2").thaw();
        cluster.child("n3").thaw();
        awaitOffset("n2", end);
        awaitOffset("n3", end);
    }

    @Test
    void emptyNodeCatchesUpFromPeersDuringLogOutage() throws IOException {
        long end = logEnd();
        cluster.child("n3").kill();
        cluster.setFault(cluster.logUrl(), "down", 1);
        cluster.startNode("n3");
        awaitOffset("n3", end - 1);
    }

    @Test
    void nodeBehindRequiredOffsetCatchesUpOrRefusesRequest() throws IOException {
        cluster.publish(ConfigRecords.caller("c", "t"), ConfigRecords.accessRule("r", "c", "service:*"));
        long end = logEnd();
        cluster.child("log").freeze();
        JsonNode refused = resolveAtLeast(end);
        cluster.child("log").thaw();
        assertThat(refused.path("code").asInt()).isEqualTo(ResultCode.NOT_READY.number());
        cluster.append("config", Json.text(ConfigRecords.adapter("shown", LocalCluster.BASE_MODEL)));
        assertThat(resolveAtLeast(end).path("config_offset").asLong()).isGreaterThanOrEqualTo(end);
    }

    @Test
    void concurrentPublishesInBothSchemasHaveOneWinner() throws IOException {
        ObjectNode newSchema = ConfigRecords.adapter("raced", LocalCluster.BASE_MODEL);
        ObjectNode oldSchema = Json.object()
                .put("schema", 1)
                .put("id", "old-operator")
                .put("type", "adapter")
                .put("name", "raced")
                .put("rev", 0)
                .put("baseModel", LocalCluster.BASE_MODEL);
        CompletableFuture<Integer> oldSchemaExitCode = CompletableFuture.supplyAsync(() -> publish(oldSchema));
        int newSchemaExitCode = publish(newSchema);
        assertThat(List.of(oldSchemaExitCode.join(), newSchemaExitCode)).containsExactlyInAnyOrder(0, 1);
        for (ObjectNode record : List.of(oldSchema, newSchema)) {
            Set<ObjectNode> outcomes = cluster.nodes().stream()
                    .map(n -> cluster.get("http://" + cluster.operatorAddress(n) + "/outcome?id="
                            + record.path("id").asText()))
                    // the applied offset is the only field that may differ between nodes
                    .map(o -> ((ObjectNode) o).put("applied", 0))
                    .collect(Collectors.toSet());
            assertThat(outcomes).hasSize(1);
        }
    }

    private static int publish(ObjectNode record) {
        try {
            return cluster.tryPublish(record);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static JsonNode resolveAtLeast(long offset) {
        return cluster.caller("t").resolveService("booking", offset).body();
    }

    private static void awaitOffset(String node, long offset) {
        Polling.waitUntil(node + " applies " + offset, TIMEOUT, () -> appliedOffset(node) >= offset);
    }

    private static long appliedOffset(String node) {
        try {
            return cluster.nodeStatus(node).path("config_offset").asLong();
        } catch (CompletionException e) {
            return -1;
        }
    }

    private static long logEnd() {
        return cluster.get(cluster.logUrl() + "/streams/config?max=0")
                .path("end")
                .asLong();
    }
}
