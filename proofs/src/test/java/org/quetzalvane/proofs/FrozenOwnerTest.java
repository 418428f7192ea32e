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

/** An owner is frozen with a request running, its successor acts on the engine's only slot, the owner is thawed. */
class FrozenOwnerTest {
    private static final String TOKEN = "t";
    private static final String ENGINE = "e1";
    private static final int LONG = 800;
    private static final int SHORT = 5;
    private static final Duration LIMIT = Duration.ofSeconds(30);

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
            String other = owner.equals("n1") ? "n2" : "n1";
            CallerClient caller = cluster.caller(TOKEN);
            CompletableFuture<CallerClient.Result> running = CompletableFuture.supplyAsync(
                    () -> caller.completeAt(cluster.callerAddress(owner), "a1", 1, "p", LONG));
            Polling.waitUntil("a1 runs", LIMIT, () -> ran(cluster) == 1);
            cluster.child(owner).freeze();
            Polling.waitUntil("successor", LIMIT, () -> !cluster.nodeStatus(other)
                    .path("engines")
                    .isEmpty());
            CallerClient.Result second = caller.completeAt(cluster.callerAddress(other), "a2", 1, "p", SHORT);
            cluster.child(owner).thaw();
            running.join();
            CallerClient.Result third = caller.completeAt(cluster.callerAddress(owner), "a2", 1, "p", SHORT);
            assertThat(cluster.get(cluster.engineUrl(ENGINE) + "/control/ran").path("violations"))
                    .isEmpty();
            assertThat(second.isComplete()).as("by the successor: %s", second).isTrue();
            assertThat(third.isComplete())
                    .as("by one hop from the thawed node: %s", third)
                    .isTrue();
            assertThat(cluster.nodeStatus(owner).path("engines")).isEmpty();
        }
    }

    private static void publish(LocalCluster cluster) throws IOException {
        cluster.publishAll(TOKEN, "a1", "a2");
    }

    private static String owner(LocalCluster cluster) {
        return cluster.nodes().stream()
                .filter(n -> !cluster.nodeStatus(n).path("engines").isEmpty())
                .findFirst()
                .orElseThrow();
    }

    private static int ran(LocalCluster cluster) {
        return cluster.get(cluster.engineUrl(ENGINE) + "/control/ran")
                .path("ran")
                .size();
    }
}
