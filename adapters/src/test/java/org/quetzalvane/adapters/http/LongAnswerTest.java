package org.quetzalvane.adapters.http;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.quetzalvane.core.time.SystemScheduler;

import static org.assertj.core.api.Assertions.assertThat;

/** Answers that take longer than the read timeout, and callers that leave while they wait. */
class LongAnswerTest {
    private static final Duration READ_TIMEOUT = Duration.ofMillis(200);
    private static final Duration LONGER = Duration.ofMillis(900);
    private static final Duration LIMIT = Duration.ofSeconds(20);
    private static final byte[] BODY = "{}".getBytes(StandardCharsets.UTF_8);

    private final SystemScheduler scheduler = new SystemScheduler(1);
    private final BufferingHttpClient calls = BufferingHttpClient.start();
    private final CompletableFuture<Void> gone = new CompletableFuture<>();
    private JettyHttpServer service;

    @AfterEach
    void stop() throws IOException {
        service.close();
        calls.close();
        scheduler.close();
    }

    @Test
    void wholeAnswerLongerThanTheReadTimeoutIsNotCutOff() throws Exception {
        serve(e -> scheduler.schedule(LONGER, () -> e.respond(200, "whole")));
        assertThat(new String(post().body(), StandardCharsets.UTF_8)).isEqualTo("\"whole\"");
    }

    @Test
    void streamSilentForLongerThanTheReadTimeoutIsNotCutOff() throws Exception {
        serve(e -> {
            ServerSentEventStream stream = e.startEventStream(1 << 16, () -> {});
            stream.send("first");
            scheduler.schedule(LONGER, () -> {
                stream.send("last");
                stream.end();
            });
        });
        assertThat(new String(post().body(), StandardCharsets.UTF_8)).contains("first", "last");
    }

    @Test
    void callerThatLeavesWhileItWaitsIsNoticed() throws Exception {
        CompletableFuture<Void> taken = new CompletableFuture<>();
        serve(e -> {
            e.onDisconnect(scheduler, () -> {
                e.abort();
                gone.complete(null);
            });
            taken.complete(null);
        });
        try (Socket caller = new Socket("127.0.0.1", service.port())) {
            String request = "POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{}";
            caller.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            taken.get(LIMIT.toSeconds(), TimeUnit.SECONDS);
            assertThat(gone).isNotDone();
        }
        assertThat(gone).succeedsWithin(LIMIT);
    }

    @Test
    void connectionServesTheNextRequestAfterAWatchedAnswer() throws Exception {
        serve(e -> {
            e.onDisconnect(scheduler, () -> gone.complete(null));
            scheduler.schedule(LONGER, () -> e.respond(200, "whole"));
        });
        try (Socket caller = new Socket("127.0.0.1", service.port())) {
            for (int i = 0; i < 2; i++) {
                String request = "POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{}";
                caller.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
                assertThat(readUntilWhole(caller.getInputStream())).startsWith("HTTP/1.1 200");
            }
        }
        assertThat(gone).isNotDone();
    }

    private static String readUntilWhole(InputStream in) throws IOException {
        StringBuilder text = new StringBuilder();
        while (text.indexOf("\"whole\"") < 0) {
            int b = in.read();
            assertThat(b).as("end of stream after %s", text).isGreaterThanOrEqualTo(0);
            text.append((char) b);
        }
        return text.toString();
    }

    private void serve(java.util.function.Consumer<HttpExchange> route) throws Exception {
        service = JettyHttpServer.builder()
                .idleTimeout(READ_TIMEOUT)
                .route("POST", "/x", e -> e.body().thenAccept(body -> route.accept(e)))
                .start("127.0.0.1:0");
    }

    private BufferingHttpClient.Response post() {
        return calls.call("POST", "http://127.0.0.1:" + service.port() + "/x", Map.of(), BODY, LIMIT)
                .join();
    }
}
