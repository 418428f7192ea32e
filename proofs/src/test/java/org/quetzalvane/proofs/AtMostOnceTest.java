package org.quetzalvane.proofs;

import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.databind.JsonNode;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.quetzalvane.adapters.http.Json;
import org.quetzalvane.core.ResultCode;
import org.quetzalvane.standins.harness.CallerClient;
import org.quetzalvane.standins.harness.ConfigRecords;
import org.quetzalvane.standins.harness.LocalCluster;
import org.quetzalvane.standins.harness.Polling;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Non-idempotent calls run at most once, as counted by the service stand-in, if the response is lost or truncated, a
 * pooled connection no longer delivers data, or the holder of the key is frozen or killed.
 */
class AtMostOnceTest {
    private static final String TOKEN = "t";
    private static final String SERVICE = "relayed";
    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    private static LocalCluster cluster;
    private static TcpRelay relay;

    private final CallerClient caller = cluster.caller(TOKEN);

    /** An idempotency key and the node that holds it. */
    private record IssuedKey(String node, String address, String key) {}

    @BeforeAll
    static void start() throws IOException {
        cluster = LocalCluster.builder().nodes(3).engines(1).start();
        relay = new TcpRelay(cluster.serviceUrl());
        cluster.publishEndpoints();
        cluster.publish(
                ConfigRecords.caller("angler", TOKEN),
                ConfigRecords.accessRule("r1", "angler", "service:" + SERVICE),
                ConfigRecords.record(
                        "service",
                        SERVICE,
                        0,
                        Json.object()
                                .put("url", relay.url())
                                .put("host", "service-host")
                                .put("dataCentre", LocalCluster.REGION + "/a")));
        cluster.awaitOwners();
    }

    @AfterAll
    static void stop() throws IOException {
        relay.close();
        cluster.close();
    }

    @Test
    void responseCutAfterExecutionIsReportedAsUnknownAndRetriesDoNotRun() {
        IssuedKey issuedKey = issueKey();
        relay.cutNextResponses(1);
        assertOutcomeUnknownAndRunOnce(issuedKey, "cut");
    }

    @Test
    void responseLostByServiceIsReportedAsUnknownAndRetriesNeverRun() {
        IssuedKey issuedKey = issueKey();
        cluster.setFault(cluster.serviceUrl(), "lose_answers", 1);
        assertOutcomeUnknownAndRunOnce(issuedKey, "lost");
    }

    @Test
    void responseWithAnotherAttemptIdIsRejected() {
        IssuedKey issuedKey = issueKey();
        cluster.setFault(cluster.serviceUrl(), "wrong_echo", 1);
        CallerClient.Result r = call(issuedKey, "echo");
        assertThat(r.code()).isEqualTo(ResultCode.WRONG_ECHO.number());
        assertThat(r.body().path("notRun").asBoolean()).isFalse();
        assertThat(call(issuedKey, "echo").code()).isEqualTo(ResultCode.WRONG_ECHO.number());
        assertThat(countRuns("echo")).isEqualTo(1);
    }

    @Test
    void nonIdempotentCallNeverUsesPooledConnection() {
        assertThat(caller.callAt(issueKey().address, SERVICE, null, body("warm"))
                        .isComplete())
                .isTrue();
        relay.silenceConnections();
        assertThat(call(issueKey(), "fresh").isComplete()).isTrue();
        assertThat(countRuns("fresh")).isEqualTo(1);
    }

    @Test
    void retryAtAnotherNodeReportsHolder() {
        IssuedKey issuedKey = issueKey();
        String other = anyNodeExcept(issuedKey.node);
        CallerClient.Result before = caller.callAt(cluster.callerAddress(other), SERVICE, issuedKey.key, body("held"));
        assertThat(before.code()).isEqualTo(ResultCode.HELD_ELSEWHERE.number());
        assertThat(call(issuedKey, "held").isComplete()).isTrue();
        CallerClient.Result after = caller.callAt(cluster.callerAddress(other), SERVICE, issuedKey.key, body("held"));
        assertThat(after.code()).isEqualTo(ResultCode.HELD_ELSEWHERE.number());
        assertThat(after.body().path("notRun").asBoolean()).isFalse();
        assertThat(after.body().path("where").asText()).isEqualTo(issuedKey.address);
        assertThat(countRuns("held")).isEqualTo(1);
    }

    @Test
    void frozenHolderIsNotTreatedAsStopped() {
        IssuedKey issuedKey = issueKey();
        cluster.child(issuedKey.node).freeze();
        CompletableFuture<CallerClient.Result> first = CompletableFuture.supplyAsync(() -> call(issuedKey, "frozen"));
        String other = anyNodeExcept(issuedKey.node);
        CallerClient.Result r = caller.callAt(cluster.callerAddress(other), SERVICE, issuedKey.key, body("frozen"));
        cluster.child(issuedKey.node).thaw();
        assertThat(r.code()).isEqualTo(ResultCode.HELD_ELSEWHERE.number());
        assertThat(first.join().isComplete()).isTrue();
        assertThat(countRuns("frozen")).isEqualTo(1);
    }

    @Test
    void holderKilledAfterDispatchLeavesOutcomeUnknownPermanently() throws IOException {
        IssuedKey issuedKey = issueKey();
        cluster.setFault(cluster.serviceUrl(), "slow_ms", 3000);
        CompletableFuture<CallerClient.Result> first = CompletableFuture.supplyAsync(() -> call(issuedKey, "killed"));
        Polling.waitUntil("the call runs", TIMEOUT, () -> countRuns("killed") == 1);
        cluster.child(issuedKey.node).kill();
        cluster.setFault(cluster.serviceUrl(), "slow_ms", 0);
        assertThat(first.join().code()).isEqualTo(ResultCode.OUTCOME_UNKNOWN.number());
        String other = anyNodeExcept(issuedKey.node);
        assertThat(caller.callAt(cluster.callerAddress(other), SERVICE, issuedKey.key, body("killed"))
                        .body()
                        .path("notRun")
                        .asBoolean())
                .isFalse();
        cluster.startNode(issuedKey.node);
        cluster.awaitReady(issuedKey.node);
        assertThat(call(issuedKey, "killed").code()).isEqualTo(ResultCode.NEVER_WILL_RUN.number());
        Polling.waitUntil(
                "the later incarnation is known",
                TIMEOUT,
                () -> caller.callAt(cluster.callerAddress(other), SERVICE, issuedKey.key, body("killed"))
                                .code()
                        == ResultCode.NEVER_WILL_RUN.number());
        assertThat(countRuns("killed")).isEqualTo(1);
    }

    private void assertOutcomeUnknownAndRunOnce(IssuedKey issuedKey, String name) {
        for (int i = 0; i < 2; i++) {
            CallerClient.Result r = call(issuedKey, name);
            assertThat(r.code()).as("%s", r).isEqualTo(ResultCode.OUTCOME_UNKNOWN.number());
            assertThat(r.body().path("notRun").asBoolean()).isFalse();
        }
        assertThat(countRuns(name)).isEqualTo(1);
    }

    private IssuedKey issueKey() {
        JsonNode resolved = caller.resolveService(SERVICE).body();
        return new IssuedKey(
                resolved.path("node").asText(),
                resolved.path("address").asText(),
                resolved.path("idempotency_key").asText());
    }

    private CallerClient.Result call(IssuedKey issuedKey, String name) {
        return caller.callAt(issuedKey.address, SERVICE, issuedKey.key, body(name));
    }

    private static String body(String name) {
        return "{\"name\":\"" + name + "\"}";
    }

    private static String anyNodeExcept(String node) {
        return cluster.nodes().stream().filter(n -> !n.equals(node)).findFirst().orElseThrow();
    }

    private static int countRuns(String name) {
        int found = 0;
        for (JsonNode ran : cluster.get(cluster.serviceUrl() + "/control/ran").path("ran")) {
            found += ran.path("body").asText().equals(body(name)) ? 1 : 0;
        }
        return found;
    }
}
