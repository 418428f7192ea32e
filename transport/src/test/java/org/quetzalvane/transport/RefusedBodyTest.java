package org.quetzalvane.transport;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import io.netty.handler.codec.http.EmptyHttpHeaders;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.quetzalvane.core.limit.MemoryAccount;
import org.quetzalvane.core.limit.MemoryAccount.Kind;

import static org.assertj.core.api.Assertions.assertThat;

/** Requests whose body the memory account does not admit. */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class RefusedBodyTest {
    private static final int CAPACITY = 300_000;
    private static final int LARGE = 1_000_000;
    private static final int SMALL = 100;

    private final NettyEventLoop loop = new NettyEventLoop();
    private final MemoryAccount memory = new MemoryAccount(CAPACITY);
    private Socket client;
    private BufferedReader in;

    @BeforeEach
    void connect() throws IOException {
        HttpServer server =
                new HttpServer(loop, () -> new ServerLimits(16_384, 4_000_000, 5_000, 5_000), memory, exchange -> {
                    int status = exchange.bodyRefused() ? 503 : 200;
                    byte[] length = Integer.toString(exchange.body().length).getBytes(StandardCharsets.US_ASCII);
                    exchange.respond(status, EmptyHttpHeaders.INSTANCE, length);
                });
        InetSocketAddress at = server.listen(new InetSocketAddress("127.0.0.1", 0));
        client = new Socket(at.getAddress(), at.getPort());
        in = new BufferedReader(new InputStreamReader(client.getInputStream(), StandardCharsets.US_ASCII));
    }

    @AfterEach
    void close() throws IOException {
        client.close();
        loop.close();
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void refusedRequestIsAnsweredAndTheConnectionIsUsedOn(boolean chunked) throws Exception {
        for (int i = 0; i < 3; i++) {
            send(SMALL, chunked, "");
            assertThat(response()).isEqualTo("200 " + SMALL);
            send(LARGE, chunked, "");
            assertThat(response()).isEqualTo("503 0");
        }
        assertNothingHeld();
    }

    /** A socket that is closed with unread bytes is reset, which can discard the response. */
    @Test
    void connectionIsClosedOnlyAfterTheRefusedBodyHasArrived() throws Exception {
        send(LARGE, false, "Connection: close\r\n");
        assertThat(response()).isEqualTo("503 0");
        assertThat(in.read()).isEqualTo(-1);
    }

    @Test
    void refusalIsSentBeforeTheBody() throws Exception {
        client.getOutputStream().write(head("Content-Length: " + LARGE, "").getBytes(StandardCharsets.US_ASCII));
        assertThat(response()).isEqualTo("503 0");
        assertNothingHeld();
    }

    /** The client may send the body or not, so that the connection cannot be used on. */
    @Test
    void refusedClientIsNotToldToContinue() throws Exception {
        client.getOutputStream()
                .write(head("Content-Length: " + LARGE, "Expect: 100-continue\r\n")
                        .getBytes(StandardCharsets.US_ASCII));
        assertThat(response()).isEqualTo("503 0");
    }

    @Test
    void bodyIsGivenBackWhenTheClientDisconnects() throws Exception {
        client.getOutputStream().write(head("Content-Length: " + SMALL, "").getBytes(StandardCharsets.US_ASCII));
        while (held() != SMALL) {
            TimeUnit.MILLISECONDS.sleep(1);
        }
        client.close();
        while (held() != 0) {
            TimeUnit.MILLISECONDS.sleep(1);
        }
    }

    private void assertNothingHeld() throws Exception {
        assertThat(held()).isZero();
    }

    private long held() throws Exception {
        long[] held = new long[1];
        CountDownLatch done = new CountDownLatch(1);
        loop.execute(() -> {
            held[0] = memory.held(Kind.REQUEST_BODY);
            done.countDown();
        });
        done.await();
        return held[0];
    }

    private void send(int bytes, boolean chunked, String header) throws IOException {
        String body = "x".repeat(bytes);
        String request = chunked
                ? head("Transfer-Encoding: chunked", header) + Integer.toHexString(bytes) + "\r\n" + body
                        + "\r\n0\r\n\r\n"
                : head("Content-Length: " + bytes, header) + body;
        client.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
    }

    private static String head(String framing, String header) {
        return "POST / HTTP/1.1\r\nHost: h\r\n" + framing + "\r\n" + header + "\r\n";
    }

    /** Status and body of the next response. */
    private String response() throws IOException {
        String status = in.readLine().split(" ")[1];
        int length = 0;
        for (String line = in.readLine(); !line.isEmpty(); line = in.readLine()) {
            if (line.toLowerCase(java.util.Locale.ROOT).startsWith("content-length:")) {
                length = Integer.parseInt(line.substring(line.indexOf(':') + 1).trim());
            }
        }
        char[] body = new char[length];
        for (int n = 0; n < length; ) {
            n += in.read(body, n, length - n);
        }
        return status + " " + new String(body);
    }
}
