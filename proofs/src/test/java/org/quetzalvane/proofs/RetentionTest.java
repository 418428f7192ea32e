package org.quetzalvane.proofs;

import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.CompletionException;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.quetzalvane.adapters.http.Json;
import org.quetzalvane.core.config.SnapshotCodec;
import org.quetzalvane.standins.harness.ConfigRecords;
import org.quetzalvane.standins.harness.LocalCluster;
import org.quetzalvane.standins.harness.Polling;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * After configuration records expire from the log, snapshots keep the configuration in force, and a record with an
 * expected revision from before the expiry is still rejected.
 */
class RetentionTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(30);
    private static final String SNAPSHOT_STREAM = "config-snapshots";
    private static LocalCluster cluster;

    @BeforeAll
    static void start() throws IOException {
        cluster = LocalCluster.builder()
                .nodes(2)
                .engines(1)
                .snapshotIntervalSeconds(1)
                .start();
        cluster.publishEndpoints();
    }

    @AfterAll
    static void stop() {
        cluster.close();
    }

    @Test
    void newNodeServesFromSnapshotAfterRecordsExpired() throws IOException {
        ObjectNode removed = ConfigRecords.adapter("removed", LocalCluster.BASE_MODEL);
        cluster.publish(ConfigRecords.caller("c", "t"), ConfigRecords.accessRule("r", "c", "service:*"), removed);
        // deletes the adapter: the revision of an object is the offset of its last record plus 1
        cluster.publish(ConfigRecords.record("adapter", "removed", endOffset("config"), null));
        long end = endOffset("config");
        Polling.waitUntil("a snapshot covers all records", TIMEOUT, () -> newestSnapshotConfigOffset() >= end - 1);
        cluster.setFault(cluster.logUrl(), "expire_before.config", end);
        cluster.setFault(cluster.logUrl(), "expire_before.config-snapshots", 1);
        cluster.child("n2").kill();
        cluster.child("n1").kill();
        cluster.startNode("n2");
        cluster.awaitReady("n2");
        assertThat(cluster.nodeStatus("n2").path("config_offset").asLong()).isEqualTo(end - 1);
        assertThat(cluster.caller("t").resolveService("booking").isComplete()).isTrue();
        cluster.append("config", Json.text(removed.put("id", "late")));
        Polling.waitUntil("the late record is processed", TIMEOUT, () -> outcome("late")
                .path("known")
                .asBoolean());
        assertThat(outcome("late").path("name").asText()).isEqualTo("REVISION_CONFLICT");
        cluster.startNode("n1");
        cluster.awaitReady("n1");
    }

    @Test
    void nodeStartedDuringLogOutageLoadsPeerSnapshot() throws IOException {
        cluster.publish(ConfigRecords.adapter("before", LocalCluster.BASE_MODEL));
        long end = endOffset("config");
        Polling.waitUntil("a snapshot covers all records", TIMEOUT, () -> newestSnapshotConfigOffset() >= end - 1);
        cluster.child("n2").kill();
        cluster.startNode("n2");
        cluster.awaitReady("n2");
        cluster.awaitOwners();
        cluster.child("n1").kill();
        cluster.startNode("n1");
        cluster.awaitReady("n1");
        cluster.awaitOwners();
        long previousSnapshots = endOffset(SNAPSHOT_STREAM);
        Polling.waitUntil(
                "two more snapshots are written", TIMEOUT, () -> endOffset(SNAPSHOT_STREAM) >= previousSnapshots + 2);
        cluster.child("n1").kill();
        cluster.setFault(cluster.logUrl(), "down", 1);
        cluster.startNode("n1");
        Polling.waitUntil("n1 reaches the offset of n2", TIMEOUT, () -> appliedOffset("n1") >= end - 1);
        cluster.setFault(cluster.logUrl(), "down", 0);
        cluster.awaitReady("n1");
    }

    private static long appliedOffset(String node) {
        try {
            return cluster.nodeStatus(node).path("config_offset").asLong();
        } catch (CompletionException e) {
            return -1;
        }
    }

    private static JsonNode outcome(String id) {
        return cluster.get("http://" + cluster.operatorAddress("n2") + "/outcome?id=" + id);
    }

    /** Returns the configuration offset that the newest snapshot covers, or -1 if there is no snapshot. */
    private static long newestSnapshotConfigOffset() {
        long end = endOffset(SNAPSHOT_STREAM);
        if (end == 0) {
            return -1;
        }
        JsonNode record = readStream(SNAPSHOT_STREAM, end - 1).path("records").path(0);
        try {
            return SnapshotCodec.decode(record.path("data").binaryValue()).at();
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    private static long endOffset(String stream) {
        return readStream(stream, Integer.MAX_VALUE - 1).path("end").asLong();
    }

    private static JsonNode readStream(String stream, long from) {
        return cluster.get(cluster.logUrl() + "/streams/" + stream + "?max=1&from=" + from);
    }
}
