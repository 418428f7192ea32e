package org.quetzalvane.adapters.http;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.quetzalvane.core.ResultCode;
import org.quetzalvane.core.exc.QuetzalvaneException;

import static org.assertj.core.api.Assertions.assertThat;

/** A failed call is reported as not sent only if it was never assigned to a connection. */
class BufferingHttpClientTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    private static final Duration SHORT_TIMEOUT = Duration.ofMillis(300);
    private static final int CONNECTIONS = 256;

    private final BufferingHttpClient httpClient = BufferingHttpClient.start();
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private ServerSocket server;

    @BeforeEach
    void listen() throws IOException {
        server = new ServerSocket(0, CONNECTIONS * 2, InetAddress.getByName("127.0.0.1"));
    }

    @AfterEach
    void stop() throws IOException {
        server.close();
        httpClient.close();
        threads.shutdownNow();
    }

    @Test
    void reportsUnreachableWhenConnectionIsRefused() throws IOException {
        server.close();
        assertThat(codeOf(post(TIMEOUT))).isEqualTo(ResultCode.ENDPOINT_UNREACHABLE);
    }

    /** A response of another status than those of HTTP was passed on, or waited for. */
    @ParameterizedTest
    @ValueSource(strings = {"000", "099", "0200", "600", "999"})
    void reportsUnknownOutcomeWhenTheStatusIsInvalid(String status) {
        threads.execute(() -> {
            try (Socket s = server.accept()) {
                assertThat(s.getInputStream().read()).isNotNegative();
                s.getOutputStream()
                        .write(("HTTP/1.1 " + status + " OK\r\nContent-Length: 2\r\n\r\nok")
                                .getBytes(StandardCharsets.US_ASCII));
                assertThat(s.getInputStream().readAllBytes()).isNotNull();
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        });
        assertThat(codeOf(post(TIMEOUT))).isEqualTo(ResultCode.OUTCOME_UNKNOWN);
    }

    @Test
    void reportsUnknownOutcomeWhenConnectionIsResetAfterSending() {
        threads.execute(() -> {
            try (Socket s = server.accept()) {
                s.setSoLinger(true, 0);
                assertThat(s.getInputStream().read()).isNotNegative();
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        });
        assertThat(codeOf(post(TIMEOUT))).isEqualTo(ResultCode.OUTCOME_UNKNOWN);
    }

    @Test
    void reportsUnknownOutcomeWhenEndpointDoesNotRespond() {
        assertThat(codeOf(post(SHORT_TIMEOUT))).isEqualTo(ResultCode.OUTCOME_UNKNOWN);
    }

    @Test
    void reportsUnreachableWhenNoPooledConnectionBecomesFree() {
        for (int i = 0; i < CONNECTIONS; i++) {
            post(TIMEOUT);
        }
        assertThat(codeOf(post(SHORT_TIMEOUT))).isEqualTo(ResultCode.ENDPOINT_UNREACHABLE);
    }

    private CompletableFuture<BufferingHttpClient.Response> post(Duration timeout) {
        String url = "http://127.0.0.1:" + server.getLocalPort() + "/x";
        return httpClient.call("POST", url, Map.of(), new byte[] {1}, timeout);
    }

    private static ResultCode codeOf(CompletableFuture<BufferingHttpClient.Response> response) {
        return QuetzalvaneException.codeOf(response.handle((r, f) -> f).join());
    }
}
