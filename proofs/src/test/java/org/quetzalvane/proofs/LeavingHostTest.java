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

/** Hosts that the host list calls leaving receive no new work 3 s later, though callers keep old answers. */
class LeavingHostTest {
    private static final String TOKEN = "t";
    private static final int TOKENS = 5;
    private static final int ADAPTERS = 6;
    private static final int MORE_ANSWERS = 30;
    private static final Duration PROMISE = Duration.ofSeconds(3);
    private static final Duration LIMIT = Duration.ofSeconds(30);
    private static LocalCluster cluster;

    @BeforeAll
    static void start() throws IOException {
        cluster = LocalCluster.builder().nodes(2).engines(2).start();
        cluster.publishEndpoints();
        List<ObjectNode> records = new ArrayList<>();
        records.add(ConfigRecords.caller("angler", TOKEN));
        records.add(ConfigRecords.rule("r1", "angler", "adapter:*"));
        for (int i = 1; i <= ADAPTERS; i++) {
            records.add(ConfigRecords.adapter("a" + i, LocalCluster.BASE_MODEL));
            records.add(ConfigRecords.version("a" + i, 1));
        }
        cluster.publish(records.toArray(new ObjectNode[0]));
        cluster.awaitOwners();
    }

    @AfterAll
    static void stop() {
        cluster.close();
    }

    @Test
    void engineHostAndThenEntryHostReceiveNoNewWork() {
        AtomicBoolean running = new AtomicBoolean(true);
        AtomicInteger whole = new AtomicInteger();
        CompletableFuture<Void> load = CompletableFuture.runAsync(() -> call(running, whole));
        Polling.waitUntil("both engines work", LIMIT, () -> ran("e1") > 0 && ran("e2") > 0);

        leave("host-e1");
        Polling.sleep(PROMISE);
        int before = ran("e1");
        awaitMore(whole);
        assertThat(ran("e1")).as("requests at the leaving engine").isEqualTo(before);

        leave(cluster.host("n1"));
        Polling.sleep(PROMISE);
        String n1 = "n1 dispatches nothing";
        Polling.waitUntil(
                n1, LIMIT, () -> cluster.nodeStatus("n1").path("engines").isEmpty());
        awaitMore(whole);
        assertThat(cluster.nodeStatus("n1").path("engines")).isEmpty();
        running.set(false);
        load.join();
    }

    private static void leave(String host) {
        cluster.control(
                cluster.hostsUrl() + "/control/host",
                Json.object().put("host", host).put("state", "leaving"));
    }

    private static void awaitMore(AtomicInteger whole) {
        int from = whole.get();
        Polling.waitUntil("more answers", LIMIT, () -> whole.get() >= from + MORE_ANSWERS);
    }

    private static void call(AtomicBoolean running, AtomicInteger whole) {
        CallerClient caller = cluster.caller(TOKEN);
        for (int i = 0; running.get(); i++) {
            String node = cluster.nodes().get(i % 2);
            CallerClient.Result r =
                    caller.completeAt(cluster.callerAddress(node), "a" + (1 + i % ADAPTERS), 1, "p", TOKENS);
            if (r.isComplete()) {
                whole.incrementAndGet();
            }
        }
    }

    private static int ran(String engine) {
        return cluster.get(cluster.engineUrl(engine) + "/control/ran")
                .path("ran")
                .size();
    }
}
