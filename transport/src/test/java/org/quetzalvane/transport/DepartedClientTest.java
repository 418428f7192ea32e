package org.quetzalvane.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentSkipListSet;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Clients that close their connections while the event loop is held up. */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class DepartedClientTest {
    private static final int CLIENTS = 20;
    private static final int MAX_BODY_BYTES = 100_000;

    private final NettyEventLoop loop = new NettyEventLoop();
    private final Set<String> handled = new ConcurrentSkipListSet<>();
    private final List<Socket> sockets = new ArrayList<>();
    private final HttpServer server =
            new HttpServer(loop, () -> new ServerLimits(8_192, MAX_BODY_BYTES, 5_000, 5_000), x -> {
                handled.add(x.head().uri());
                x.respond(200, EmptyHttpHeaders.INSTANCE, new byte[0]);
            });

    /** How a client ends its connection. */
    private enum End {
        CLOSE,
        RESET
    }

    @AfterEach
    void close() throws IOException {
        loop.close();
        for (Socket s : sockets) {
            s.close();
        }
    }

    /** Work went on for callers that had left before their requests were read. */
    @ParameterizedTest
    @CsvSource({
        "false, 0, 1, CLOSE",
        "false, 0, 1, RESET",
        "true, 0, 1, CLOSE",
        "false, 100, 1, CLOSE",
        "false, 60000, 1, CLOSE",
        "true, 100, 2, CLOSE",
        "false, 0, 5, CLOSE",
        "false, 0, 20, CLOSE"
    })
    void requestOfAClientThatHasLeftIsNotHandled(boolean kept, int bodyBytes, int requests, End end) throws Exception {
        InetSocketAddress at = server.listen(new InetSocketAddress("127.0.0.1", 0));
        List<Socket> clients = new ArrayList<>();
        for (int i = 0; i < 2 * CLIENTS; i++) {
            clients.add(connect(at, kept));
        }
        handled.clear();
        CountDownLatch held = holdUp();
        for (int i = 0; i < 2 * CLIENTS; i++) {
            Socket s = clients.get(i);
            boolean leaves = i % 2 == 0;
            StringBuilder sent = new StringBuilder();
            for (int k = 0; k < requests; k++) {
                sent.append(request("/" + (leaves ? "left" : "stays") + "/" + i + "/" + k, bodyBytes));
            }
            write(s, sent.toString(), leaves ? end : null);
        }
        TimeUnit.MILLISECONDS.sleep(100);
        held.countDown();
        assertThatHandledIsOnly("stays", CLIENTS * requests);
    }

    /** The end of a connection was not seen while reading was paused behind several requests. */
    @ParameterizedTest
    @ValueSource(ints = {1, 12, 200})
    void closeIsSeenBehindQueuedRequests(int queued) throws Exception {
        CountDownLatch disconnected = new CountDownLatch(1);
        AtomicInteger calls = new AtomicInteger();
        HttpServer silent = new HttpServer(loop, () -> new ServerLimits(8_192, 8_192, 5_000, 5_000), x -> {
            calls.incrementAndGet();
            x.onDisconnect(disconnected::countDown);
        });
        InetSocketAddress at = silent.listen(new InetSocketAddress("127.0.0.1", 0));
        Socket s = connect(at, false);
        write(s, request("/left", 0).repeat(1 + queued), null);
        TimeUnit.MILLISECONDS.sleep(200);
        s.close();
        assertThat(disconnected.await(5, TimeUnit.SECONDS)).isTrue();
        assertThat(calls).hasValue(1);
    }

    /** A client that sends many requests together is told which of them are answered. */
    @ParameterizedTest
    @ValueSource(ints = {12, 60, 200})
    void requestsBehindOneAnotherAreAnsweredUpToTheLastThatSaysSo(int requests) throws Exception {
        InetSocketAddress at = server.listen(new InetSocketAddress("127.0.0.1", 0));
        Socket s = connect(at, false);
        write(s, request("/stays", 0).repeat(requests), null);
        s.setSoTimeout(1_000);
        StringBuilder received = new StringBuilder();
        try {
            for (int c = s.getInputStream().read();
                    c >= 0;
                    c = s.getInputStream().read()) {
                received.append((char) c);
            }
        } catch (SocketTimeoutException e) {
            assertThat(received).as("a connection that stays open").doesNotContain("connection: close");
        }
        String[] responses = received.toString().split("(?=HTTP/1.1 200)");
        assertThat(responses).hasSizeGreaterThanOrEqualTo(Math.min(requests, 64));
        boolean all = responses.length == requests;
        assertThat(all || responses[responses.length - 1].contains("connection: close"))
                .isTrue();
    }

    /** A request that waited for a connection was written in the pass of the event loop that saw its caller leave. */
    @Test
    void requestIsNotPassedOnBeforeTheCloseOfItsClientIsRead() throws Exception {
        AtomicInteger arrived = new AtomicInteger();
        HttpServer endpoint = new HttpServer(loop, () -> new ServerLimits(8_192, 8_192, 5_000, 5_000), x -> {
            arrived.incrementAndGet();
            x.respond(200, EmptyHttpHeaders.INSTANCE, new byte[0]);
        });
        InetSocketAddress endpointAt = endpoint.listen(new InetSocketAddress("127.0.0.1", 0));
        HttpClient client = new HttpClient(loop, 5_000);
        CountDownLatch waiting = new CountDownLatch(2 * CLIENTS);
        List<Runnable> sends = new ArrayList<>();
        HttpServer relay = new HttpServer(loop, () -> new ServerLimits(8_192, 8_192, 5_000, 5_000), x -> {
            sends.add(() -> client.send(endpointAt, get(), HttpClient.NEW_CONNECTION, x::clientPresent, ignored()));
            waiting.countDown();
        });
        InetSocketAddress at = relay.listen(new InetSocketAddress("127.0.0.1", 0));
        List<Socket> clients = new ArrayList<>();
        for (int i = 0; i < 2 * CLIENTS; i++) {
            clients.add(connect(at, false));
            write(clients.get(i), request("/" + i, 0), null);
        }
        waiting.await();
        CountDownLatch held = holdUp();
        loop.execute(() -> sends.forEach(Runnable::run));
        for (int i = 0; i < CLIENTS; i++) {
            clients.get(i).close();
        }
        TimeUnit.MILLISECONDS.sleep(100);
        held.countDown();
        for (int i = 0; i < 50 && arrived.get() < CLIENTS; i++) {
            TimeUnit.MILLISECONDS.sleep(100);
        }
        TimeUnit.MILLISECONDS.sleep(500);
        assertThat(arrived).hasValue(CLIENTS);
    }

    /** A client that went on sending without end would have kept the event loop reading its connection. */
    @Test
    void clientThatKeepsSendingDoesNotHoldUpOthers() throws Exception {
        HttpServer silent = new HttpServer(loop, () -> new ServerLimits(8_192, 8_192, 5_000, 5_000), x -> {
            handled.add(x.head().uri());
            loop.schedule(Duration.ofMillis(1), x::clientPresent);
        });
        InetSocketAddress at = silent.listen(new InetSocketAddress("127.0.0.1", 0));
        String many = request("/endless", 0).repeat(1_000);
        for (int i = 0; i < 3; i++) {
            Socket s = connect(at, false);
            Thread sender = new Thread(() -> sendWithoutEnd(s, many));
            sender.setDaemon(true);
            sender.start();
        }
        while (!handled.contains("/endless")) {
            TimeUnit.MILLISECONDS.sleep(10);
        }
        TimeUnit.MILLISECONDS.sleep(300);
        write(connect(at, false), request("/stays", 0), null);
        for (int i = 0; i < 50 && !handled.contains("/stays"); i++) {
            TimeUnit.MILLISECONDS.sleep(100);
        }
        assertThat(handled).contains("/stays");
    }

    private static void sendWithoutEnd(Socket s, String text) {
        try {
            while (!s.isClosed()) {
                s.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
            }
        } catch (IOException e) {
            // The test has closed the connection.
        }
    }

    private void assertThatHandledIsOnly(String prefix, int count) throws InterruptedException {
        for (int i = 0; i < 100 && handled.size() < count; i++) {
            TimeUnit.MILLISECONDS.sleep(100);
        }
        TimeUnit.MILLISECONDS.sleep(300);
        assertThat(handled).hasSize(count).allMatch(uri -> uri.startsWith("/" + prefix));
    }

    /** Keeps the event loop from running until the latch is counted down. */
    private CountDownLatch holdUp() throws InterruptedException {
        CountDownLatch begun = new CountDownLatch(1);
        CountDownLatch held = new CountDownLatch(1);
        loop.execute(() -> {
            begun.countDown();
            try {
                held.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        begun.await();
        return held;
    }

    /** Connects; a kept connection has carried a request before. */
    private Socket connect(InetSocketAddress at, boolean kept) throws IOException {
        Socket s = new Socket(at.getAddress(), at.getPort());
        sockets.add(s);
        if (kept) {
            write(s, request("/stays/first", 0), null);
            byte[] head = new byte[12];
            assertThat(s.getInputStream().readNBytes(head, 0, head.length)).isEqualTo(head.length);
        }
        return s;
    }

    private static void write(Socket s, String text, End end) {
        try {
            s.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
            if (end == End.RESET) {
                s.setSoLinger(true, 0);
            }
            if (end != null) {
                s.close();
            }
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private static String request(String uri, int bodyBytes) {
        String body = "x".repeat(bodyBytes);
        return "POST " + uri + " HTTP/1.1\r\nHost: x\r\nContent-Length: " + bodyBytes + "\r\n\r\n" + body;
    }

    private static FullHttpRequest get() {
        FullHttpRequest r = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/");
        r.headers().set(HttpHeaderNames.HOST, "x");
        return r;
    }

    private static HttpResponseListener ignored() {
        return new HttpResponseListener() {
            @Override
            public void onHead(HttpResponse head) {}

            @Override
            public void onBody(byte[] chunk) {}

            @Override
            public void onComplete() {}

            @Override
            public void onFailure(boolean notSent, String cause) {}
        };
    }
}
