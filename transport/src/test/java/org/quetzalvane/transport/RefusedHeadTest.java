package org.quetzalvane.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.netty.handler.codec.http.EmptyHttpHeaders;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.quetzalvane.core.limit.MemoryAccount;
import org.quetzalvane.core.limit.MemoryAccount.Kind;

import static org.assertj.core.api.Assertions.assertThat;

/** Requests of very many header lines, in the head or behind the last chunk. */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class RefusedHeadTest {
    /** Ten times the share that the largest heads of one client need, with all kinds. */
    private static final long CAPACITY = 100_000_000;

    private static final int LINES = 3_900;
    private static final int CROWD = 60;
    private static final String ORDINARY = "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\nx";
    private static final String LINE = "a:\r\n";

    private final NettyEventLoop loop = new NettyEventLoop();
    private final MemoryAccount memory = new MemoryAccount(CAPACITY);
    private final List<Socket> sockets = new ArrayList<>();
    private InetSocketAddress address;

    @BeforeEach
    void listen() {
        HttpServer server = new HttpServer(
                loop,
                () -> new ServerLimits(16_384, 4_000_000, 20_000, 20_000),
                memory,
                x -> x.respond(200, EmptyHttpHeaders.INSTANCE, new byte[0]));
        address = server.listen(new InetSocketAddress("127.0.0.1", 0));
    }

    @AfterEach
    void close() throws IOException {
        for (Socket s : sockets) {
            s.close();
        }
        loop.close();
    }

    /** A request inside the limits is served in calm, whatever it consists of. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void singleRequestOfVeryManyLinesIsServed(boolean trailers) throws Exception {
        Socket s = connect();
        for (int i = 0; i < 3; i++) {
            write(s, request(trailers) + "\r\n");
            assertThat(readHead(s)).startsWith("HTTP/1.1 200");
        }
        assertThat(held()).isZero();
    }

    /** Guards against header lines that are held for nothing until the heap is full. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void crowdIsRefusedAndOrdinaryRequestsAreServed(boolean trailers) throws Exception {
        for (int i = 0; i < CROWD; i++) {
            write(connect(), request(trailers));
        }
        Socket ordinary = connect();
        write(ordinary, ORDINARY);
        assertThat(readHead(ordinary)).startsWith("HTTP/1.1 200");
        assertThat(held()).isBetween(1L, memory.share(Kind.REQUEST_HEAD));
        int refused = 0;
        for (Socket s : sockets.subList(0, CROWD)) {
            s.setSoTimeout(100);
            refused += isRefused(s) ? 1 : 0;
        }
        assertThat(refused).isBetween(1, CROWD - 1);
    }

    /** Guards against memory that stays charged when clients leave within a head or behind the last chunk. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void headersOfClientsThatLeaveAreGivenBack(boolean trailers) throws Exception {
        for (int i = 0; i < CROWD; i++) {
            write(connect(), request(trailers));
        }
        close(sockets);
        while (held() > 0) {
            TimeUnit.MILLISECONDS.sleep(10);
        }
    }

    private static void close(List<Socket> all) throws IOException {
        for (Socket s : all) {
            s.close();
        }
    }

    /** A request that lacks its last line. */
    private static String request(boolean trailers) {
        String head = "POST / HTTP/1.1\r\nHost: x\r\n";
        return trailers
                ? head + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n" + LINE.repeat(LINES)
                : head + LINE.repeat(LINES);
    }

    private Socket connect() throws IOException {
        Socket s = new Socket(address.getAddress(), address.getPort());
        sockets.add(s);
        return s;
    }

    private static void write(Socket s, String bytes) throws IOException {
        s.getOutputStream().write(bytes.getBytes(StandardCharsets.US_ASCII));
    }

    private static boolean isRefused(Socket s) {
        try {
            String head = readHead(s);
            assertThat(head).startsWith("HTTP/1.1 503").containsIgnoringCase("retry-after: ");
            return true;
        } catch (IOException e) {
            // The node waits for the rest of the request, or has reset the connection after its refusal.
            return !(e instanceof SocketTimeoutException);
        }
    }

    private static String readHead(Socket s) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int b = s.getInputStream().read();
            if (b < 0) {
                throw new IOException("closed");
            }
            head.append((char) b);
        }
        return head.toString();
    }

    private long held() throws Exception {
        CompletableFuture<Long> held = new CompletableFuture<>();
        loop.execute(() -> held.complete(memory.held(Kind.REQUEST_HEAD)));
        return held.get();
    }
}
