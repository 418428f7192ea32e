package org.quetzalvane.entry;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import io.netty.handler.codec.http.EmptyHttpHeaders;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.quetzalvane.core.serve.GracePeriod;
import org.quetzalvane.transport.HttpServer;
import org.quetzalvane.transport.NettyEventLoop;
import org.quetzalvane.transport.ServerLimits;

import static org.assertj.core.api.Assertions.assertThat;

@Timeout(value = 30, unit = TimeUnit.SECONDS)
class PlannedStopArrivalTest {
    private static final ServerLimits LIMITS = new ServerLimits(16_384, 65_536, 3_000, 15_000);
    private static final long GRACE_MS = 6_000;
    private static final int READ_TIMEOUT_MS = 5_000;
    private static final String REQUEST = "GET /x HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n";

    private final NettyEventLoop loop = new NettyEventLoop();
    private final HttpServer server =
            new HttpServer(loop, () -> LIMITS, x -> x.respond(200, EmptyHttpHeaders.INSTANCE, new byte[0]));
    private final PlannedStop stop = new PlannedStop(loop, server, new GracePeriod(loop), GRACE_MS);

    @AfterEach
    void closeLoop() {
        loop.close();
    }

    /** Guards against requests on kept connections that arrived before the stop began and are closed unread. */
    @Test
    void requestThatArrivedBeforeTheStopIsAnswered() throws Exception {
        InetSocketAddress address = server.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        try (Socket s = new Socket(address.getAddress(), address.getPort())) {
            s.setSoTimeout(READ_TIMEOUT_MS);
            assertThat(call(s)).startsWith("HTTP/1.1 200");
            CountDownLatch busy = new CountDownLatch(1);
            CountDownLatch sent = new CountDownLatch(1);
            // The event loop is busy while the request arrives, and then begins to stop.
            loop.execute(() -> {
                busy.countDown();
                await(sent);
                stop.begin();
            });
            busy.await();
            s.getOutputStream().write(REQUEST.getBytes(StandardCharsets.US_ASCII));
            TimeUnit.MILLISECONDS.sleep(50);
            sent.countDown();
            assertThat(read(s)).startsWith("HTTP/1.1 200");
        }
    }

    /** Guards against kept connections that stay open during the stop. */
    @Test
    void idleConnectionIsClosed() throws Exception {
        InetSocketAddress address = server.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        try (Socket s = new Socket(address.getAddress(), address.getPort())) {
            s.setSoTimeout(READ_TIMEOUT_MS);
            assertThat(call(s)).startsWith("HTTP/1.1 200");
            loop.execute(stop::begin);
            assertThat(s.getInputStream().read()).isEqualTo(-1);
        }
    }

    private static String call(Socket s) throws IOException {
        s.getOutputStream().write(REQUEST.getBytes(StandardCharsets.US_ASCII));
        return read(s);
    }

    /** The head of a response without a body; empty if the connection ends. */
    private static String read(Socket s) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int b = s.getInputStream().read();
            if (b < 0) {
                return "";
            }
            head.append((char) b);
        }
        return head.toString();
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
