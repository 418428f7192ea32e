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

/** Non-idempotent calls over separate processes: each runs at most once by the service's own record. */
class AtMostOnceTest {
    private static final String TOKEN = "t";
    private static final String SERVICE = "relayed";
    private static final Duration LIMIT = Duration.ofSeconds(20);
    private static LocalCluster cluster;
    private static Relay relay;

    private final CallerClient caller = cluster.caller(TOKEN);

    /** A key and where it is held. */
    private record Held(String node, String address, String key) {}

    @BeforeAll
    static void start() throws IOException {
        cluster = LocalCluster.builder().nodes(3).engines(1).start();
        relay = new Relay(cluster.serviceUrl());
        cluster.publishEndpoints();
        cluster.publish(
                ConfigRecords.caller("angler", TOKEN),
                ConfigRecords.rule("r1", "angler", "service:" + SERVICE),
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
    void answerCutAfterTheActionIsUnknownAndRepeatsDoNotRun() {
        Held held = key();
        relay.cutAnswers(1);
        expectUnknown(held, "cut");
    }

    @Test
    void answerLostByTheServiceIsUnknownAndRepeatsDoNotRun() {
        Held held = key();
        cluster.setFault(cluster.serviceUrl(), "lose_answers", 1);
        expectUnknown(held, "lost");
    }

    @Test
    void answerUnderAnotherEchoIsNotPassedOn() {
        Held held = key();
        cluster.setFault(cluster.serviceUrl(), "wrong_echo", 1);
        CallerClient.Result r = call(held, "echo");
        assertThat(r.code()).isEqualTo(ResultCode.WRONG_ECHO.number());
        assertThat(r.body().path("notRun").asBoolean()).isFalse();
        assertThat(call(held, "echo").code()).isEqualTo(ResultCode.WRONG_ECHO.number());
        assertThat(runs("echo")).isEqualTo(1);
    }

    @Test
    void callNeverUsesAConnectionThatMayHaveGoneSilent() {
        assertThat(caller.callAt(key().address, SERVICE, null, body("warm")).isComplete())
                .isTrue();
        relay.silence();
        assertThat(call(key(), "fresh").isComplete()).isTrue();
        assertThat(runs("fresh")).isEqualTo(1);
    }

    @Test
    void repeatAtAnotherNodeNamesTheHolder() {
        Held held = key();
        String other = otherThan(held.node);
        CallerClient.Result before = caller.callAt(cluster.callerAddress(other), SERVICE, held.key, body("held"));
        assertThat(before.code()).isEqualTo(ResultCode.HELD_ELSEWHERE.number());
        assertThat(call(held, "held").isComplete()).isTrue();
        CallerClient.Result after = caller.callAt(cluster.callerAddress(other), SERVICE, held.key, body("held"));
        assertThat(after.code()).isEqualTo(ResultCode.HELD_ELSEWHERE.number());
        assertThat(after.body().path("notRun").asBoolean()).isFalse();
        assertThat(after.body().path("where").asText()).isEqualTo(held.address);
        assertThat(runs("held")).isEqualTo(1);
    }

    @Test
    void frozenHolderIsNotTakenForGone() {
        Held held = key();
        cluster.child(held.node).freeze();
        CompletableFuture<CallerClient.Result> first = CompletableFuture.supplyAsync(() -> call(held, "frozen"));
        String other = otherThan(held.node);
        CallerClient.Result r = caller.callAt(cluster.callerAddress(other), SERVICE, held.key, body("frozen"));
        cluster.child(held.node).thaw();
        assertThat(r.code()).isEqualTo(ResultCode.HELD_ELSEWHERE.number());
        assertThat(first.join().isComplete()).isTrue();
        assertThat(runs("frozen")).isEqualTo(1);
    }

    @Test
    void holderKilledBetweenDispatchAndAnswerLeavesTheOutcomeUnknownForEver() throws IOException {
        Held held = key();
        cluster.setFault(cluster.serviceUrl(), "slow_ms", 3000);
        CompletableFuture<CallerClient.Result> first = CompletableFuture.supplyAsync(() -> call(held, "killed"));
        Polling.waitUntil("the call runs", LIMIT, () -> runs("killed") == 1);
        cluster.child(held.node).kill();
        cluster.setFault(cluster.serviceUrl(), "slow_ms", 0);
        assertThat(first.join().code()).isEqualTo(ResultCode.OUTCOME_UNKNOWN.number());
        String other = otherThan(held.node);
        assertThat(caller.callAt(cluster.callerAddress(other), SERVICE, held.key, body("killed"))
                        .body()
                        .path("notRun")
                        .asBoolean())
                .isFalse();
        cluster.startNode(held.node);
        cluster.awaitReady(held.node);
        assertThat(call(held, "killed").code()).isEqualTo(ResultCode.NEVER_WILL_RUN.number());
        Polling.waitUntil(
                "the later incarnation is known",
                LIMIT,
                () -> caller.callAt(cluster.callerAddress(other), SERVICE, held.key, body("killed"))
                                .code()
                        == ResultCode.NEVER_WILL_RUN.number());
        assertThat(runs("killed")).isEqualTo(1);
    }

    private void expectUnknown(Held held, String name) {
        for (int i = 0; i < 2; i++) {
            CallerClient.Result r = call(held, name);
            assertThat(r.code()).as("%s", r).isEqualTo(ResultCode.OUTCOME_UNKNOWN.number());
            assertThat(r.body().path("notRun").asBoolean()).isFalse();
        }
        assertThat(runs(name)).isEqualTo(1);
    }

    private Held key() {
        JsonNode where = caller.resolveService(SERVICE).body();
        return new Held(
                where.path("node").asText(),
                where.path("address").asText(),
                where.path("idempotency_key").asText());
    }

    private CallerClient.Result call(Held held, String name) {
        return caller.callAt(held.address, SERVICE, held.key, body(name));
    }

    private static String body(String name) {
        return "{\"name\":\"" + name + "\"}";
    }

    private static String otherThan(String node) {
        return cluster.nodes().stream().filter(n -> !n.equals(node)).findFirst().orElseThrow();
    }

    private static int runs(String name) {
        int found = 0;
        for (JsonNode ran : cluster.get(cluster.serviceUrl() + "/control/ran").path("ran")) {
            found += ran.path("body").asText().equals(body(name)) ? 1 : 0;
        }
        return found;
    }
}
