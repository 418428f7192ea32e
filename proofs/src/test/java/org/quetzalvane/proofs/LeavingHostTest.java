package org.quetzalvane.proofs;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.quetzalvane.adapters.http.Json;
import org.quetzalvane.standins.harness.CallerClient;
import org.quetzalvane.standins.harness.ConfigRecords;
import org.quetzalvane.standins.harness.LocalCluster;
import org.quetzalvane.standins.harness.Polling;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * An engine on a host that the host list reports as leaving receives no new requests from 3 s after the report on. A
 * node on such a host gives up its engines, although callers go on to send it requests.
 */
class LeavingHostTest {
    private static final String TOKEN = "t";
    private static final int TOKENS = 5;
    private static final int ADAPTERS = 6;
    private static final int MORE_RESPONSES = 30;
    private static final Duration MAX_REACTION_TIME = Duration.ofSeconds(3);
    private static final Duration TIMEOUT = Duration.ofSeconds(30);
    private static LocalCluster cluster;

    @BeforeAll
    static void start() throws IOException {
        cluster = LocalCluster.builder().nodes(2).engines(2).start();
        cluster.publishEndpoints();
        List<ObjectNode> records = new ArrayList<>();
        records.add(ConfigRecords.caller("angler", TOKEN));
        records.add(ConfigRecords.accessRule("r1", "angler", "adapter:*"));
        for (int i = 1; i <= ADAPTERS; i++) {
            records.add(ConfigRecords.adapter("a" + i, LocalCluster.BASE_MODEL));
            records.add(ConfigRecords.adapterVersion("a" + i, 1));
        }
        cluster.publish(records.toArray(new ObjectNode[0]));
        cluster.awaitOwners();
    }

    @AfterAll
    static void stop() {
        cluster.close();
    }

    @Test
    void leavingEngineHostGetsNoNewRequestsAndLeavingEntryHostOwnsNoEngine() {
        AtomicBoolean running = new AtomicBoolean(true);
        AtomicInteger completed = new AtomicInteger();
        CompletableFuture<Void> calls = CompletableFuture.runAsync(() -> callUntilStopped(running, completed));
        Polling.waitUntil(
                "both engines have started requests",
                TIMEOUT,
                () -> startedRequests("e1") > 0 && startedRequests("e2") > 0);

        markLeaving("host-e1");
        Polling.sleep(MAX_REACTION_TIME);
        int before = startedRequests("e1");
        awaitMoreResponses(completed);
        assertThat(startedRequests("e1"))
                .as("requests started at the leaving engine")
                .isEqualTo(before);

        markLeaving(cluster.entryHostName("n1"));
        Polling.sleep(MAX_REACTION_TIME);
        String condition = "n1 owns no engine";
        Polling.waitUntil(condition, TIMEOUT, () -> cluster.nodeStatus("n1")
                .path("engines")
                .isEmpty());
        awaitMoreResponses(completed);
        assertThat(cluster.nodeStatus("n1").path("engines")).isEmpty();
        running.set(false);
        calls.join();
    }

    private static void markLeaving(String host) {
        cluster.control(
                cluster.hostsUrl() + "/control/host",
                Json.object().put("host", host).put("state", "leaving"));
    }

    private static void awaitMoreResponses(AtomicInteger completed) {
        int from = completed.get();
        Polling.waitUntil("more responses", TIMEOUT, () -> completed.get() >= from + MORE_RESPONSES);
    }

    private static void callUntilStopped(AtomicBoolean running, AtomicInteger completed) {
        CallerClient caller = cluster.caller(TOKEN);
        for (int i = 0; running.get(); i++) {
            String node = cluster.nodes().get(i % 2);
            CallerClient.Result r =
                    caller.completeAt(cluster.callerAddress(node), "a" + (1 + i % ADAPTERS), 1, "p", TOKENS);
            if (r.isComplete()) {
                completed.incrementAndGet();
            }
        }
    }

    private static int startedRequests(String engine) {
        return cluster.get(cluster.engineUrl(engine) + "/control/ran")
                .path("ran")
                .size();
    }
}
