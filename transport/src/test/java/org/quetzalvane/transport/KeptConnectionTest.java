package org.quetzalvane.transport;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import io.netty.handler.codec.http.EmptyHttpHeaders;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Whole requests on kept connections get their responses, also when limits change or the connection is to be closed. */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class KeptConnectionTest {
    private static final String REQUEST = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
    private static final long SHORT_IDLE_MS = 200;
    private static final long SLOW_READER_IDLE_MS = 1_000;
    /** More than the socket buffers of both sides hold. */
    private static final int LARGE_BYTES = 30_000_000;

    private final NettyEventLoop loop = new NettyEventLoop();
    private final Queue<ServerExchange> held = new ArrayDeque<>();
    private volatile ServerLimits limits = limits(60_000);
    private HttpServer server;
    private Socket client;

    @BeforeEach
    void connect() throws Exception {
        server = new HttpServer(loop, () -> limits, held::add);
        InetSocketAddress at = server.listen(new InetSocketAddress("127.0.0.1", 0));
        client = new Socket(at.getAddress(), at.getPort());
        boolean[] accepted = new boolean[1];
        do {
            onLoop(() -> accepted[0] = server.connectionCount() > 0);
        } while (!accepted[0]);
    }

    @AfterEach
    void close() throws IOException {
        client.close();
        loop.close();
    }

    @Test
    void raisedIdleLimitHoldsForConnectionsThatAreOpen() throws Exception {
        limits = limits(SHORT_IDLE_MS);
        client.close();
        connect();
        send(REQUEST);
        respondToAll(1);
        limits = limits(60_000);
        CountDownLatch idle = new CountDownLatch(1);
        loop.schedule(Duration.ofMillis(2 * SHORT_IDLE_MS), idle::countDown);
        idle.await();
        send(REQUEST);
        respondToAll(1);
        client.shutdownOutput();
        assertThat(responses()).isEqualTo(2);
    }

    @Test
    void wholeRequestsBeforeOneThatCannotBeReadAreAnswered() throws Exception {
        send(REQUEST + REQUEST + "broken\r\n\r\n");
        respondToAll(2);
        assertThat(responses()).isEqualTo(3);
    }

    @Test
    void wholeRequestsOnOneConnectionAreAnsweredWhenTheServerDrains() throws Exception {
        send(REQUEST + REQUEST);
        awaitHeld();
        onLoop(server::drain);
        respondToAll(2);
        assertThat(responses()).isEqualTo(2);
    }

    /** A node that stops when no connection is busy would cut the response off. */
    @Test
    void connectionIsBusyUntilItsResponseIsSent() throws Exception {
        send(REQUEST);
        awaitHeld();
        onLoop(() -> held.remove().respond(200, EmptyHttpHeaders.INSTANCE, new byte[LARGE_BYTES]));
        long[] busy = new long[1];
        onLoop(() -> busy[0] = server.busyConnections());
        assertThat(busy[0]).isEqualTo(1);
        client.getInputStream().readNBytes(LARGE_BYTES);
        do {
            onLoop(() -> busy[0] = server.busyConnections());
        } while (busy[0] > 0);
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void responseToASlowReaderIsNotCutOffAsIdle(boolean drains) throws Exception {
        limits = limits(SLOW_READER_IDLE_MS);
        client.close();
        connect();
        send(REQUEST);
        awaitHeld();
        onLoop(() -> held.remove().respond(200, EmptyHttpHeaders.INSTANCE, new byte[LARGE_BYTES]));
        if (drains) {
            onLoop(server::drain);
        }
        CountDownLatch idle = new CountDownLatch(1);
        loop.schedule(Duration.ofMillis(SLOW_READER_IDLE_MS + SHORT_IDLE_MS), idle::countDown);
        idle.await();
        assertThat(client.getInputStream().readNBytes(LARGE_BYTES)).hasSize(LARGE_BYTES);
    }

    @Test
    void connectionOfAClientThatNeverReadsIsClosed() throws Exception {
        limits = limits(SHORT_IDLE_MS);
        client.close();
        connect();
        send(REQUEST);
        awaitHeld();
        onLoop(() -> held.remove().respond(200, EmptyHttpHeaders.INSTANCE, new byte[LARGE_BYTES]));
        int[] open = new int[1];
        do {
            onLoop(() -> open[0] = server.connectionCount());
        } while (open[0] > 0);
    }

    private static ServerLimits limits(long idleMs) {
        return new ServerLimits(8_192, 8_192, 10_000, idleMs);
    }

    private void send(String bytes) throws IOException {
        client.getOutputStream().write(bytes.getBytes(StandardCharsets.US_ASCII));
    }

    /** Responds to a number of requests, one after the other; stops when the connection is closed. */
    private void respondToAll(int count) throws InterruptedException {
        for (int i = 0; i < count && awaitHeld(); i++) {
            onLoop(() -> held.remove().respond(200, EmptyHttpHeaders.INSTANCE, new byte[0]));
        }
    }

    /** Waits for a request; returns false if the connection is closed before one arrives. */
    private boolean awaitHeld() throws InterruptedException {
        boolean[] state = new boolean[2];
        do {
            onLoop(() -> {
                state[0] = !held.isEmpty();
                state[1] = server.connectionCount() == 0;
            });
        } while (!state[0] && !state[1]);
        return state[0];
    }

    private void onLoop(Runnable task) throws InterruptedException {
        CountDownLatch done = new CountDownLatch(1);
        loop.execute(() -> {
            task.run();
            done.countDown();
        });
        done.await();
    }

    /** Number of responses up to the end of the connection. */
    private int responses() throws IOException {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        client.getInputStream().transferTo(all);
        return all.toString(StandardCharsets.US_ASCII).split("HTTP/1.1 ", -1).length - 1;
    }
}
