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

/** Responses that take longer than the read timeout, and clients that disconnect while they wait. */
class LongResponseTest {
    /** Also the idle timeout between two requests of a connection, which a test on a loaded machine must not reach. */
    private static final Duration READ_TIMEOUT = Duration.ofSeconds(1);

    private static final Duration LONGER_THAN_READ_TIMEOUT = Duration.ofMillis(2_500);
    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    private static final byte[] BODY = "{}".getBytes(StandardCharsets.UTF_8);

    private final SystemScheduler scheduler = new SystemScheduler(1);
    private final BufferingHttpClient httpClient = BufferingHttpClient.start();
    private final CompletableFuture<Void> disconnected = new CompletableFuture<>();
    private JettyHttpServer httpServer;

    @AfterEach
    void stop() throws IOException {
        httpServer.close();
        httpClient.close();
        scheduler.close();
    }

    @Test
    void completesResponseSlowerThanReadTimeout() throws Exception {
        serve(e -> scheduler.schedule(LONGER_THAN_READ_TIMEOUT, () -> e.respond(200, "whole")));
        assertThat(new String(post().body(), StandardCharsets.UTF_8)).isEqualTo("\"whole\"");
    }

    @Test
    void completesStreamIdleForLongerThanReadTimeout() throws Exception {
        serve(e -> {
            ServerSentEventStream stream = e.startEventStream(1 << 16, () -> {});
            stream.send("first");
            scheduler.schedule(LONGER_THAN_READ_TIMEOUT, () -> {
                stream.send("last");
                stream.end();
            });
        });
        assertThat(new String(post().body(), StandardCharsets.UTF_8)).contains("first", "last");
    }

    @Test
    void detectsDisconnectBeforeResponse() throws Exception {
        CompletableFuture<Void> handled = new CompletableFuture<>();
        serve(e -> {
            e.onDisconnect(scheduler, () -> {
                e.abort();
                disconnected.complete(null);
            });
            handled.complete(null);
        });
        try (Socket client = new Socket("127.0.0.1", httpServer.port())) {
            String request = "POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{}";
            client.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            handled.get(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
            assertThat(disconnected).isNotDone();
        }
        assertThat(disconnected).succeedsWithin(TIMEOUT);
    }

    @Test
    void reusesConnectionAfterMonitoredResponse() throws Exception {
        serve(e -> {
            e.onDisconnect(scheduler, () -> disconnected.complete(null));
            scheduler.schedule(LONGER_THAN_READ_TIMEOUT, () -> e.respond(200, "whole"));
        });
        try (Socket client = new Socket("127.0.0.1", httpServer.port())) {
            for (int i = 0; i < 2; i++) {
                String request = "POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{}";
                client.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
                assertThat(readResponse(client.getInputStream())).startsWith("HTTP/1.1 200");
            }
        }
        assertThat(disconnected).isNotDone();
    }

    private static String readResponse(InputStream in) throws IOException {
        StringBuilder text = new StringBuilder();
        while (text.indexOf("\"whole\"") < 0) {
            int b = in.read();
            assertThat(b).as("end of stream after %s", text).isGreaterThanOrEqualTo(0);
            text.append((char) b);
        }
        return text.toString();
    }

    private void serve(java.util.function.Consumer<HttpExchange> route) throws Exception {
        httpServer = JettyHttpServer.builder()
                .idleTimeout(READ_TIMEOUT)
                .route("POST", "/x", e -> e.body().thenAccept(body -> route.accept(e)))
                .start("127.0.0.1:0");
    }

    private BufferingHttpClient.Response post() {
        return httpClient
                .call("POST", "http://127.0.0.1:" + httpServer.port() + "/x", Map.of(), BODY, TIMEOUT)
                .join();
    }
}
