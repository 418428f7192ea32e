package org.quetzalvane.proofs;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicBoolean;

import com.fasterxml.jackson.databind.JsonNode;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.quetzalvane.core.ResultCode;
import org.quetzalvane.standins.harness.CallerClient;
import org.quetzalvane.standins.harness.LocalCluster;
import org.quetzalvane.standins.harness.Polling;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Planned stops through separate processes. While every node in turn is restarted under load, each request either
 * completes or is not run, and more than half complete; a long request completes if a node stops meanwhile.
 */
class PlannedStopTest {
    private static final String TOKEN = "t";
    private static final int CALLERS = 4;
    private static final int TOKENS = 30;
    private static final int LONG_TOKENS = 1500;
    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    private static final Duration IDLE_STOP_TIMEOUT = Duration.ofSeconds(30);
    private static LocalCluster cluster;

    @BeforeAll
    static void start() throws IOException {
        cluster = LocalCluster.builder().nodes(3).engines(2).start();
        cluster.publishEndpointsAndAdapters(TOKEN, "a1", "a2");
    }

    @AfterAll
    static void stop() {
        cluster.close();
    }

    @Test
    void rollingRestartInterruptsNoResponse() throws IOException {
        AtomicBoolean running = new AtomicBoolean(true);
        ExecutorService threads = Executors.newFixedThreadPool(CALLERS);
        List<CompletableFuture<List<CallerClient.Result>>> callers = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            String adapter = "a" + (1 + i % 2);
            callers.add(CompletableFuture.supplyAsync(() -> callWhileRunning(running, adapter), threads));
        }
        for (String node : cluster.nodes()) {
            assertThat(cluster.child(node).terminate())
                    .as("exit code of %s", node)
                    .isZero();
            cluster.startNode(node);
            cluster.awaitReady(node);
            cluster.awaitOwners();
        }
        running.set(false);
        List<CallerClient.Result> all = new ArrayList<>();
        callers.forEach(c -> all.addAll(c.join()));
        threads.shutdown();
        assertThat(all).hasSizeGreaterThan(CALLERS * 3);
        assertThat(all).allMatch(PlannedStopTest::isCompleteOrNotRun);
        assertThat(all.stream().filter(CallerClient.Result::isComplete).count()).isGreaterThan(all.size() / 2);
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void stopInterruptsNoLongRequest(boolean stopsOwner) throws IOException {
        CallerClient caller = cluster.caller(TOKEN);
        String owner = caller.resolve("a1", 1).body().path("node").asText();
        String other = cluster.nodes().stream()
                .filter(n -> !n.equals(owner))
                .findFirst()
                .orElseThrow();
        String stoppedNode = stopsOwner ? owner : other;
        String prompt = "long " + stopsOwner;
        CompletableFuture<CallerClient.Result> response = CompletableFuture.supplyAsync(
                () -> caller.completeBufferedAt(cluster.callerAddress(other), "a1", 1, prompt, LONG_TOKENS));
        Polling.waitUntil("the request runs", TIMEOUT, () -> countRuns(prompt) == 1);
        cluster.child(stoppedNode).requestTermination();
        assertThat(response.join().code()).isZero();
        Polling.waitUntil("the node has stopped", TIMEOUT, () -> !cluster.child(stoppedNode)
                .isAlive());
        assertThat(cluster.child(stoppedNode).waitForExit()).isZero();
        assertThat(countRuns(prompt)).isEqualTo(1);
        cluster.startNode(stoppedNode);
        cluster.awaitReady(stoppedNode);
        cluster.awaitOwners();
    }

    @Test
    void stopOfIdleNodeEndsWithinTimeout() throws IOException {
        String stoppedNode = cluster.nodes().get(1);
        cluster.child(stoppedNode).requestTermination();
        Polling.waitUntil("the node has stopped", IDLE_STOP_TIMEOUT, () -> !cluster.child(stoppedNode)
                .isAlive());
        cluster.startNode(stoppedNode);
        cluster.awaitReady(stoppedNode);
        cluster.awaitOwners();
    }

    private static int countRuns(String prompt) {
        int found = 0;
        for (String engine : List.of("e1", "e2")) {
            for (JsonNode ran :
                    cluster.get(cluster.engineUrl(engine) + "/control/ran").path("ran")) {
                found += ran.path("prompt").asText().equals(prompt) ? 1 : 0;
            }
        }
        return found;
    }

    private static boolean isCompleteOrNotRun(CallerClient.Result r) {
        boolean notSent = r.code() == ResultCode.ENDPOINT_UNREACHABLE.number();
        return r.isComplete() || notSent || r.body().path("notRun").asBoolean();
    }

    private static List<CallerClient.Result> callWhileRunning(AtomicBoolean running, String adapter) {
        List<CallerClient.Result> results = new ArrayList<>();
        CallerClient caller = cluster.caller(TOKEN);
        while (running.get()) {
            CallerClient.Result r = caller.complete(adapter, 1, "p", TOKENS);
            results.add(r);
            if (!r.isComplete()) {
                Polling.sleep(Duration.ofMillis(100));
            }
        }
        return results;
    }
}
