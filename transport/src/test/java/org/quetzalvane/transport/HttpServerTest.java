package org.quetzalvane.transport;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import io.netty.handler.codec.http.EmptyHttpHeaders;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/** The end of listening, and responses without a body. */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class HttpServerTest {
    private static final int ROUNDS = 300;

    private final NettyEventLoop loop = new NettyEventLoop();

    @AfterEach
    void close() {
        loop.close();
    }

    /** A connection that the kernel still accepts would be reset, which tells its caller less than a refusal does. */
    @Test
    void noConnectionIsAcceptedOnceTheEndOfListeningIsReported() throws Exception {
        int refused = 0;
        for (int i = 0; i < ROUNDS; i++) {
            HttpServer server = new HttpServer(loop, () -> new ServerLimits(8_192, 8_192, 1_000, 1_000), x -> {});
            InetSocketAddress at = server.listen(new InetSocketAddress("127.0.0.1", 0));
            CountDownLatch stopped = new CountDownLatch(1);
            loop.execute(() -> server.stopAccepting(stopped::countDown));
            stopped.await();
            refused += refuses(at) ? 1 : 0;
        }
        assertThat(refused).isEqualTo(ROUNDS);
    }

    /** The last chunk of a stream that has no body was taken for the beginning of the next response. */
    @ParameterizedTest
    @CsvSource({"HEAD, 200, ''", "GET, 204, ''", "GET, 304, ''", "GET, 200, '4\r\nbody\r\n0\r\n\r\n'"})
    void streamedResponseWithoutABodyHasNoChunks(String method, int status, String body) throws Exception {
        HttpServer server = new HttpServer(loop, () -> new ServerLimits(8_192, 8_192, 1_000, 1_000), exchange -> {
            exchange.begin(status, EmptyHttpHeaders.INSTANCE, -1);
            exchange.write("body".getBytes(StandardCharsets.US_ASCII));
            exchange.end();
        });
        InetSocketAddress at = server.listen(new InetSocketAddress("127.0.0.1", 0));
        String request = method + " / HTTP/1.1\r\nHost: x\r\n";
        try (Socket s = new Socket(at.getAddress(), at.getPort())) {
            byte[] both =
                    (request + "\r\n" + request + "Connection: close\r\n\r\n").getBytes(StandardCharsets.US_ASCII);
            s.getOutputStream().write(both);
            String responses = new String(s.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
            assertThat(responses.replaceAll("HTTP/1.1 (?s:.*?)\r\n\r\n", "")).isEqualTo(body + body);
            assertThat(responses.split("HTTP/1.1 " + status, -1)).hasSize(3);
        }
    }

    private static boolean refuses(InetSocketAddress at) throws IOException {
        try (Socket s = new Socket()) {
            s.connect(at, 1_000);
            return false;
        } catch (ConnectException e) {
            return true;
        }
    }
}
