package org.quetzalvane.adapters.http;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

import org.junit.jupiter.api.Test;
import org.quetzalvane.core.ResultCode;

import static org.assertj.core.api.Assertions.assertThat;

/** A server that stops while a request is in progress. */
class StoppingServerTest {
    private static final Duration LIMIT = Duration.ofSeconds(20);
    private static final int MOST_REQUESTS = 100_000;

    @Test
    void refusesNewRequestsByNumberAndFinishesWhatRuns() throws Exception {
        CompletableFuture<Exchange> held = new CompletableFuture<>();
        HttpService server = HttpService.builder()
                .route("GET", "/held", held::complete)
                .route("GET", "/fast", e -> e.reply(200, Json.object()))
                .start("127.0.0.1:0");
        String url = "http://127.0.0.1:" + server.port();
        try (HttpCalls calls = HttpCalls.start()) {
            CompletableFuture<HttpCalls.Answer> running = calls.get(url + "/held", LIMIT);
            Exchange inProgress = held.join();
            assertThat(calls.get(url + "/fast", LIMIT).join().status()).isEqualTo(200);
            CompletableFuture<Void> stopped = CompletableFuture.runAsync(() -> close(server));
            HttpCalls.Answer refused = firstRefusal(calls, url + "/fast");
            assertThat(refused.status()).isEqualTo(503);
            assertThat(Json.parse(refused.body()).path("code").asInt()).isEqualTo(ResultCode.DRAINING.number());
            assertThat(Json.parse(refused.body()).path("notRun").asBoolean()).isTrue();
            inProgress.reply(200, Json.object());
            assertThat(running.join().status()).isEqualTo(200);
            stopped.join();
        }
    }

    private static HttpCalls.Answer firstRefusal(HttpCalls calls, String url) {
        for (int i = 0; i < MOST_REQUESTS; i++) {
            HttpCalls.Answer a = calls.get(url, LIMIT).join();
            if (a.status() != 200) {
                return a;
            }
        }
        throw new IllegalStateException("the server did not begin to stop");
    }

    private static void close(HttpService server) {
        try {
            server.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
