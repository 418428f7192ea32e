package org.quetzalvane.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import io.netty.handler.codec.http.EmptyHttpHeaders;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Pipelined requests on a connection of a server that is draining. */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class PipelinedStopTest {
    private static final String REQUEST = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";

    private final NettyEventLoop loop = new NettyEventLoop();
    private final AtomicInteger handled = new AtomicInteger();
    private final HttpServer server = new HttpServer(loop, () -> new ServerLimits(8_192, 8_192, 1_000, 5_000), x -> {
        handled.incrementAndGet();
        x.respond(200, EmptyHttpHeaders.INSTANCE, new byte[0]);
    });

    @AfterEach
    void close() {
        loop.close();
    }

    /** Guards against requests that were read together with an earlier one, and are cut by its response. */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 5})
    void requestsThatWereReadTogetherAreAllAnswered(int requests) throws Exception {
        InetSocketAddress at = server.listen(new InetSocketAddress("127.0.0.1", 0));
        drain();
        try (Socket s = new Socket(at.getAddress(), at.getPort())) {
            s.getOutputStream().write(REQUEST.repeat(requests).getBytes(StandardCharsets.US_ASCII));
            assertThat(responses(s)).isEqualTo(requests);
        }
        assertThat(handled).hasValue(requests);
    }

    private void drain() throws InterruptedException {
        CountDownLatch draining = new CountDownLatch(1);
        loop.execute(() -> {
            server.drain();
            draining.countDown();
        });
        draining.await();
    }

    /** Number of responses until the connection ends. */
    private static int responses(Socket s) throws IOException {
        String text = new String(s.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        return text.split("HTTP/1.1 200", -1).length - 1;
    }
}
