package org.quetzalvane.proofs;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.quetzalvane.adapters.http.BufferingHttpClient;
import org.quetzalvane.adapters.http.Json;
import org.quetzalvane.core.ResultCode;
import org.quetzalvane.standins.harness.ConfigRecords;
import org.quetzalvane.standins.harness.LocalCluster;
import org.quetzalvane.standins.harness.Polling;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Completions through separate processes during broken or silent connections, engine restarts, wrong echoes, truncated
 * streams and the loss of the owner; runs are counted by the engine stand-ins.
 */
class RequestFaultsTest {
    private static final String TOKEN = "t";
    private static final List<String> ENGINES = List.of("e1", "e2");
    private static final Duration TIMEOUT = Duration.ofSeconds(30);
    /** Requests at each node before the tests, since a node may retry one request for every ten that it received. */
    private static final int WARM_UP_REQUESTS = 40;

    private static final int CALLERS = 6;
    private static final int ROUNDS = 12;
    private static final int LONG_TOKENS = 100;
    private static final int ENDLESS_TOKENS = 100_000;
    private static final Map<String, TcpRelay> RELAYS = new HashMap<>();
    private static final BufferingHttpClient HTTP_CLIENT = BufferingHttpClient.start();
    private static LocalCluster cluster;

    /** A response as seen by the caller. */
    private record ObservedResponse(boolean complete, int code, boolean notRun, String text) {}

    @BeforeAll
    static void start() throws IOException {
        cluster = LocalCluster.builder().nodes(3).engines(2).start();
        List<ObjectNode> records = new ArrayList<>(List.of(
                ConfigRecords.baseModel(LocalCluster.BASE_MODEL),
                ConfigRecords.loadLimits(LocalCluster.REGION, 20, 8),
                ConfigRecords.caller("angler", TOKEN),
                ConfigRecords.accessRule("r1", "angler", "adapter:*"),
                ConfigRecords.adapter("a1", LocalCluster.BASE_MODEL),
                ConfigRecords.adapterVersion("a1", 1)));
        for (String engine : ENGINES) {
            TcpRelay relay = new TcpRelay(cluster.engineUrl(engine));
            RELAYS.put(engine, relay);
            ObjectNode value = Json.object()
                    .put("url", relay.url())
                    .put("host", "host-" + engine)
                    .put("dataCentre", LocalCluster.REGION + "/a")
                    .put("baseModel", LocalCluster.BASE_MODEL)
                    .put("slots", 2)
                    .put("batchSize", 8)
                    .put("checksFencing", false);
            records.add(ConfigRecords.record("engine", engine, 0, value));
        }
        cluster.publish(records.toArray(new ObjectNode[0]));
        cluster.awaitOwners();
        for (String node : cluster.nodes()) {
            for (int i = 0; i < WARM_UP_REQUESTS; i++) {
                complete(node, "warm", 1, false, true);
            }
        }
    }

    @AfterAll
    static void stop() throws IOException {
        for (TcpRelay relay : RELAYS.values()) {
            relay.close();
        }
        HTTP_CLIENT.close();
        cluster.close();
    }

    @Test
    void streamCutMidwayEndsWithAnErrorAndIsNeverComplete() {
        CompletableFuture<ObservedResponse> response = completeAsync("n1", "stream-cut", LONG_TOKENS, true, true);
        RELAYS.get(awaitEngineOf("stream-cut")).cutConnections();
        assertThat(response.join().complete).isFalse();
        assertThat(response.join().code).isEqualTo(ResultCode.STREAM_BROKEN.number());
        assertThat(attempts("stream-cut")).hasSize(1);
    }

    @Test
    void bufferedResponseCutMidwayIsRetriedOnTheOtherEngine() {
        CompletableFuture<ObservedResponse> response = completeAsync("n1", "whole-cut", LONG_TOKENS, false, true);
        RELAYS.get(awaitEngineOf("whole-cut")).cutConnections();
        assertThat(response.join().text).isEqualTo(expectedText("whole-cut", LONG_TOKENS));
        assertThat(attempts("whole-cut")).hasSize(2).doesNotHaveDuplicates();
    }

    @Test
    void nonIdempotentRequestCutMidwayRunsOnce() {
        CompletableFuture<ObservedResponse> response = completeAsync("n1", "once-cut", LONG_TOKENS, false, false);
        RELAYS.get(awaitEngineOf("once-cut")).cutConnections();
        assertThat(response.join().complete).isFalse();
        assertThat(response.join().notRun).isFalse();
        assertThat(attempts("once-cut")).hasSize(1);
    }

    @Test
    void silentConnectionIsAbandoned() {
        CompletableFuture<ObservedResponse> response = completeAsync("n1", "silent", LONG_TOKENS, false, true);
        awaitEngineOf("silent");
        RELAYS.values().forEach(TcpRelay::silenceConnections);
        assertThat(response.join().text).isEqualTo(expectedText("silent", LONG_TOKENS));
        assertThat(attempts("silent")).hasSize(2).doesNotHaveDuplicates();
        assertThat(complete("n1", "after", 5, false, true).complete).isTrue();
    }

    @Test
    void disconnectCancelsTheRequestAtTheEngine() throws IOException {
        for (String node : cluster.nodes()) {
            String prompt = "leaver-" + node;
            String body = Json.text(body(prompt, ENDLESS_TOKENS, false, true));
            String[] address = cluster.callerAddress(node).split(":");
            try (Socket caller = new Socket(address[0], Integer.parseInt(address[1]))) {
                String request = "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + TOKEN
                        + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
                caller.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
                awaitEngineOf(prompt);
            }
            Polling.waitUntil("nothing runs", TIMEOUT, () -> runningRequests() == 0);
        }
    }

    @Test
    void ownerKilledMidwayEndsTheForwardedRequestWithAnError() throws IOException {
        String owner =
                cluster.caller(TOKEN).resolve("a1", 1).body().path("node").asText();
        String other = cluster.nodes().stream()
                .filter(n -> !n.equals(owner))
                .findFirst()
                .orElseThrow();
        CompletableFuture<ObservedResponse> response = completeAsync(other, "owner-killed", LONG_TOKENS, true, true);
        awaitEngineOf("owner-killed");
        cluster.child(owner).kill();
        assertThat(response.join().complete).isFalse();
        assertThat(response.join().notRun).isFalse();
        cluster.startNode(owner);
        cluster.awaitReady(owner);
        cluster.awaitOwners();
    }

    @Test
    void streamedRequestReceivesKeepAlivesDuringLoad() throws IOException {
        cluster.publish(ConfigRecords.adapter("a2", LocalCluster.BASE_MODEL), ConfigRecords.adapterVersion("a2", 1));
        cluster.setFault(cluster.storeUrl(), "slow_ms", 5000);
        ObjectNode body = body("waits", 3, true, true).put("adapter", "a2");
        Map<String, String> headers = Map.of("Authorization", "Bearer " + TOKEN);
        String url = "http://" + cluster.callerAddress("n1") + "/v1/completions";
        BufferingHttpClient.Response response = HTTP_CLIENT
                .call("POST", url, headers, Json.bytes(body), TIMEOUT)
                .join();
        cluster.setFault(cluster.storeUrl(), "slow_ms", 0);
        assertThat(new String(response.body(), StandardCharsets.UTF_8)).contains(": waiting\n\n", "\"done\":true");
    }

    @Test
    void responsesStayCorrectUnderInjectedFaults() {
        ExecutorService threads = Executors.newFixedThreadPool(CALLERS);
        Map<String, ObservedResponse> responses = new HashMap<>();
        for (int round = 0; round < ROUNDS; round++) {
            Map<String, CompletableFuture<ObservedResponse>> running = new HashMap<>();
            for (int i = 0; i < CALLERS; i++) {
                String prompt = "storm-" + round + "-" + i;
                String node = cluster.nodes().get(i % cluster.nodes().size());
                boolean stream = i % 2 == 0;
                boolean idempotent = i % 3 != 0;
                running.put(
                        prompt,
                        CompletableFuture.supplyAsync(() -> complete(node, prompt, 20, stream, idempotent), threads));
            }
            injectFault(round);
            running.forEach((prompt, response) -> responses.put(prompt, response.join()));
        }
        threads.shutdown();
        responses.forEach((prompt, response) -> {
            int runs = attempts(prompt).size();
            // the prompt ends in the index of the request, of which every third one is non-idempotent
            boolean nonIdempotent = Integer.parseInt(prompt.substring(prompt.lastIndexOf('-') + 1)) % 3 == 0;
            assertThat(response.complete && !response.text.equals(expectedText(prompt, 20)))
                    .as(prompt + response)
                    .isFalse();
            assertThat(response.notRun && runs > 0).as(prompt + response).isFalse();
            assertThat(nonIdempotent && runs > 1).as(prompt + response).isFalse();
        });
        assertThat(responses.values().stream()
                        .filter(ObservedResponse::complete)
                        .count())
                .isGreaterThan(CALLERS * ROUNDS / 3);
    }

    private static void injectFault(int round) {
        String engine = ENGINES.get(round % 2);
        String url = cluster.engineUrl(engine);
        switch (round % 6) {
            case 0, 1 -> cluster.control(url + "/control/restart", Json.object());
            case 2 -> RELAYS.get(engine).cutConnections();
            case 3 -> cluster.setFault(url, "wrong_echo", 2);
            case 4 -> cluster.setFault(url, "truncate", 2);
            default -> RELAYS.get(engine).cutNextResponses(3);
        }
    }

    private static CompletableFuture<ObservedResponse> completeAsync(
            String node, String prompt, int tokens, boolean stream, boolean idempotent) {
        return CompletableFuture.supplyAsync(() -> complete(node, prompt, tokens, stream, idempotent));
    }

    private static ObservedResponse complete(
            String node, String prompt, int tokens, boolean stream, boolean idempotent) {
        String url = "http://" + cluster.callerAddress(node) + "/v1/completions";
        Map<String, String> headers = Map.of("Authorization", "Bearer " + TOKEN);
        byte[] body = Json.bytes(body(prompt, tokens, stream, idempotent));
        try {
            return parse(HTTP_CLIENT.call("POST", url, headers, body, TIMEOUT).join());
        } catch (CompletionException e) {
            return new ObservedResponse(false, ResultCode.OUTCOME_UNKNOWN.number(), false, "");
        }
    }

    private static ObjectNode body(String prompt, int tokens, boolean stream, boolean idempotent) {
        return Json.object()
                .put("adapter", "a1")
                .put("version", 1)
                .put("prompt", prompt)
                .put("max_tokens", tokens)
                .put("stream", stream)
                .put("idempotent", idempotent);
    }

    private static ObservedResponse parse(BufferingHttpClient.Response response) {
        String text = new String(response.body(), StandardCharsets.UTF_8);
        if (!text.startsWith("data: ") && !text.startsWith(": ")) {
            JsonNode body = Json.parse(response.body());
            boolean notRun = body.path("notRun").asBoolean();
            return new ObservedResponse(
                    response.isOk(),
                    body.path("code").asInt(),
                    notRun,
                    body.path("text").asText());
        }
        StringBuilder parts = new StringBuilder();
        for (String line : text.split("\n")) {
            JsonNode event = line.startsWith("data: ")
                    ? Json.parse(line.substring("data: ".length()).getBytes(StandardCharsets.UTF_8))
                    : Json.object();
            JsonNode error = event.path("error");
            if (event.path("done").asBoolean() || !error.isMissingNode()) {
                boolean notRun = error.path("notRun").asBoolean();
                return new ObservedResponse(
                        error.isMissingNode(), error.path("code").asInt(), notRun, parts.toString());
            }
            parts.append(event.path("text").asText());
        }
        return new ObservedResponse(false, ResultCode.STREAM_BROKEN.number(), false, parts.toString());
    }

    private static String expectedText(String prompt, int tokens) {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < tokens; i++) {
            text.append("a1@1#")
                    .append(Integer.toHexString((prompt + i).hashCode()))
                    .append(' ');
        }
        return text.toString();
    }

    /** Waits until an engine runs a prompt and returns the name of the engine. */
    private static String awaitEngineOf(String prompt) {
        Polling.waitUntil(prompt + " runs", TIMEOUT, () -> !attempts(prompt).isEmpty());
        return ENGINES.stream()
                .filter(e -> !attempts(e, prompt).isEmpty())
                .findFirst()
                .orElseThrow();
    }

    private static List<String> attempts(String prompt) {
        List<String> all = new ArrayList<>();
        ENGINES.forEach(e -> all.addAll(attempts(e, prompt)));
        return all;
    }

    private static List<String> attempts(String engine, String prompt) {
        List<String> attempts = new ArrayList<>();
        for (JsonNode ran :
                cluster.get(cluster.engineUrl(engine) + "/control/ran").path("ran")) {
            if (ran.path("prompt").asText().equals(prompt)) {
                attempts.add(ran.path("attempt").asText());
            }
        }
        return attempts;
    }

    private static int runningRequests() {
        int running = 0;
        for (String engine : ENGINES) {
            for (JsonNode a :
                    cluster.get(cluster.engineUrl(engine) + "/v1/report").path("adapters")) {
                running += a.path("running").asInt();
            }
        }
        return running;
    }
}
