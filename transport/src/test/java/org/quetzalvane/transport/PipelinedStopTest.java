package org.quetzalvane.transport;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
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

/** Requests on a connection that ends, since the server drains or the client asked for it. */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class PipelinedStopTest {
    /** More than the buffers of a connection hold. */
    private static final int LARGE_BYTES = 32 * 1024 * 1024;

    private static final String REQUEST = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";

    private final NettyEventLoop loop = new NettyEventLoop();
    private final AtomicInteger handled = new AtomicInteger();
    private volatile byte[] content = {};
    private final HttpServer server = new HttpServer(loop, () -> new ServerLimits(8_192, 8_192, 1_000, 5_000), x -> {
        handled.incrementAndGet();
        x.respond(200, EmptyHttpHeaders.INSTANCE, content);
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

    /** Guards against requests that run though their connection ends with the response before them. */
    @ParameterizedTest
    @ValueSource(ints = {0, LARGE_BYTES})
    void requestBehindTheLastResponseIsNotHandled(int responseBytes) throws Exception {
        content = new byte[responseBytes];
        InetSocketAddress at = server.listen(new InetSocketAddress("127.0.0.1", 0));
        try (Socket s = new Socket(at.getAddress(), at.getPort())) {
            OutputStream out = s.getOutputStream();
            out.write(REQUEST.replace("Host", "Connection: close\r\nHost").getBytes(StandardCharsets.US_ASCII));
            while (handled.get() == 0) {
                TimeUnit.MILLISECONDS.sleep(10);
            }
            try {
                out.write(REQUEST.getBytes(StandardCharsets.US_ASCII));
                // The client does not read a large response meanwhile.
                TimeUnit.MILLISECONDS.sleep(100);
                assertThat(responses(s)).isLessThanOrEqualTo(1);
            } catch (IOException e) {
                assertThat(e).as("the connection has ended").isInstanceOf(SocketException.class);
            }
        }
        assertThat(handled).hasValue(1);
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
