package org.quetzalvane.proofs;

import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.quetzalvane.standins.harness.CallerClient;
import org.quetzalvane.standins.harness.LocalCluster;
import org.quetzalvane.standins.harness.Polling;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * A node that takes over an engine does not evict an adapter whose request, dispatched by the frozen previous owner,
 * still runs. The engine has one adapter slot, and the new owner needs it for another adapter.
 */
class FrozenOwnerTest {
    private static final String TOKEN = "t";
    private static final String ENGINE = "e1";
    private static final int LONG_TOKENS = 800;
    private static final int SHORT_TOKENS = 5;
    private static final Duration TIMEOUT = Duration.ofSeconds(30);

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void successorNeverEvictsWhatTheFrozenOwnerStillRuns(boolean checksFencing) throws IOException {
        try (LocalCluster cluster = LocalCluster.builder()
                .nodes(2)
                .engines(1)
                .slots(1)
                .checksFencing(checksFencing)
                .start()) {
            publish(cluster);
            String owner = owner(cluster);
            String successor = owner.equals("n1") ? "n2" : "n1";
            CallerClient caller = cluster.caller(TOKEN);
            CompletableFuture<CallerClient.Result> running = CompletableFuture.supplyAsync(
                    () -> caller.completeAt(cluster.callerAddress(owner), "a1", 1, "p", LONG_TOKENS));
            Polling.waitUntil("a1 runs", TIMEOUT, () -> startedRequests(cluster) == 1);
            cluster.child(owner).freeze();
            Polling.waitUntil("the successor owns the engine", TIMEOUT, () -> !cluster.nodeStatus(successor)
                    .path("engines")
                    .isEmpty());
            CallerClient.Result successorResult =
                    caller.completeAt(cluster.callerAddress(successor), "a2", 1, "p", SHORT_TOKENS);
            cluster.child(owner).thaw();
            CallerClient.Result runningResult = running.join();
            CallerClient.Result thawedNodeResult =
                    caller.completeAt(cluster.callerAddress(owner), "a2", 1, "p", SHORT_TOKENS);
            assertThat(cluster.child(owner).isAlive())
                    .as("the thawed node runs; its output is in %s", cluster.directory())
                    .isTrue();
            assertThat(cluster.get(cluster.engineUrl(ENGINE) + "/control/ran").path("violations"))
                    .isEmpty();
            assertThat(successorResult.isComplete())
                    .as("response from the successor: %s", successorResult)
                    .isTrue();
            assertThat(thawedNodeResult.isComplete())
                    .as("response forwarded by the thawed node: %s; before it: %s", thawedNodeResult, runningResult)
                    .isTrue();
            assertThat(cluster.nodeStatus(owner).path("engines")).isEmpty();
        }
    }

    private static void publish(LocalCluster cluster) throws IOException {
        cluster.publishEndpointsAndAdapters(TOKEN, "a1", "a2");
    }

    private static String owner(LocalCluster cluster) {
        return cluster.nodes().stream()
                .filter(n -> !cluster.nodeStatus(n).path("engines").isEmpty())
                .findFirst()
                .orElseThrow();
    }

    private static int startedRequests(LocalCluster cluster) {
        return cluster.get(cluster.engineUrl(ENGINE) + "/control/ran")
                .path("ran")
                .size();
    }
}
