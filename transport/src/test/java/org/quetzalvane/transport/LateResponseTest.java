package org.quetzalvane.transport;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * A second response to an earlier call that breaks off after each of its bytes, without a close, before the response to
 * the present call on the same connection.
 */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class LateResponseTest {
    private static final String FIRST_ID = "first";
    private static final String SECOND_ID = "second";
    private static final int THREADS = 24;
    private static final int READ_TIMEOUT_MS = 5_000;
    /** Time after which a call counts as one that hangs, since its whole response was sent. */
    private static final long HANG_MS = 1_500;

    private final NettyEventLoop loop = new NettyEventLoop();
    private final HttpClient client = new HttpClient(loop, 5_000);
    private final ExecutorService threads = Executors.newFixedThreadPool(THREADS);

    /** A response to a call, with its id before or after the other headers. */
    private enum Form {
        EVENTS(200, "OK", "id: %s\r\nsignature: s-%s\r\nContent-Type: text/event-stream\r\n", true),
        EVENTS_ID_LAST(200, "OK", "Content-Type: text/event-stream\r\nsignature: s-%2$s\r\nid: %1$s\r\n", true),
        PLAIN(200, "OK", "id: %s\r\nsignature: s-%s\r\nContent-Type: text/plain\r\n", false),
        PLAIN_ID_LAST(200, "OK", "Content-Type: text/plain\r\nsignature: s-%2$s\r\nid: %1$s\r\n", false),
        ERROR(500, "Internal Server Error", "id: %s\r\nsignature: s-%s\r\n", false),
        REFUSAL_ID_LAST(503, "Service Unavailable", "not-run: 1\r\nid: %1$s\r\n", true);

        private final int status;
        private final String reason;
        private final String headers;
        private final boolean chunked;

        Form(int status, String reason, String headers, boolean chunked) {
            this.status = status;
            this.reason = reason;
            this.headers = headers;
            this.chunked = chunked;
        }

        private String body(String id) {
            return "data: " + status + " for " + id + "\n\n";
        }

        private String bytes(String id, String body) {
            return "HTTP/1.1 " + status + " " + reason + "\r\n" + headers.formatted(id, id)
                    + (chunked
                            ? "Transfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(body.length()) + "\r\n" + body
                                    + "\r\n0\r\n\r\n"
                            : "Content-Length: " + body.length() + "\r\n\r\n" + body);
        }
    }

    @AfterEach
    void close() {
        threads.shutdownNow();
        loop.close();
    }

    private static Stream<Arguments> forms() {
        return Stream.of(Form.values()).flatMap(late -> Stream.of(Form.values()).map(own -> Arguments.of(late, own)));
    }

    /**
     * The heads of both responses were read as one, status of the one, id and signature of the other; or the response
     * was discarded with the one before, and the call ended at its deadline.
     */
    @ParameterizedTest
    @MethodSource("forms")
    void headsOfTwoResponsesAreNeverReadAsOne(Form late, Form own) throws Exception {
        check(late, own, own.body(SECOND_ID));
    }

    /** The body of the own response holds a response to the call, as its caller may have asked for. */
    @ParameterizedTest
    @MethodSource("forms")
    void textOfTheOwnBodyIsNeverReadAsAHead(Form late, Form own) throws Exception {
        String head = Form.PLAIN.bytes(SECOND_ID, "x");
        check(late, own, "\r\n".repeat(60) + "0\r\n\r\n" + head + "\r\n0\r\n\r\n" + head);
    }

    private void check(Form late, Form own, String ownBody) throws Exception {
        String lateBytes = late.bytes(FIRST_ID, late.body(FIRST_ID));
        List<Callable<String>> cuts = new ArrayList<>();
        for (int i = 0; i <= lateBytes.length(); i++) {
            int cut = i;
            cuts.add(() -> {
                Received r = receive(lateBytes.substring(0, cut), own.bytes(SECOND_ID, ownBody));
                boolean whole = cut == 0 || cut == lateBytes.length();
                boolean right = r.hasExactly(own.status, ownBody) || !whole && r.outcome.equals("failed");
                return right ? "" : "cut after " + cut + " bytes: " + r;
            });
        }
        List<String> wrong = new ArrayList<>();
        for (Future<String> f : threads.invokeAll(cuts)) {
            wrong.add(f.get());
        }
        wrong.removeIf(String::isEmpty);
        assertThat(wrong).isEmpty();
    }

    /** Completes a call, then makes another one on the same connection that gets the bytes and its own response. */
    private Received receive(String before, String own) throws Exception {
        try (ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            Received first = call(server, FIRST_ID);
            try (Socket s = server.accept()) {
                s.setSoTimeout(READ_TIMEOUT_MS);
                readRequest(s);
                write(s, Form.PLAIN.bytes(FIRST_ID, "x"));
                assertThat(first.await()).isEqualTo("complete");
                Received second = call(server, SECOND_ID);
                readRequest(s);
                write(s, before + own);
                second.await();
                return second;
            }
        }
    }

    private Received call(ServerSocket server, String id) {
        Received r = new Received(id);
        InetSocketAddress to = new InetSocketAddress(server.getInetAddress(), server.getLocalPort());
        loop.execute(() -> client.send(
                to, new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/"), Long.MAX_VALUE, r));
        return r;
    }

    private static void readRequest(Socket s) throws IOException {
        InputStream in = s.getInputStream();
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int b = in.read();
            if (b < 0) {
                throw new IOException("closed");
            }
            head.append((char) b);
        }
    }

    private static void write(Socket s, String bytes) throws IOException {
        s.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** What the client reports of a call. The fields are read after the outcome. */
    private static final class Received implements HttpResponseListener {
        private final String id;
        private final CompletableFuture<String> ended = new CompletableFuture<>();
        private final StringBuilder body = new StringBuilder();
        private String outcome = "none";
        private String headers = "";
        private int status;

        Received(String id) {
            this.id = id;
        }

        String await() throws Exception {
            outcome = ended.completeOnTimeout("hangs", HANG_MS, TimeUnit.MILLISECONDS)
                    .get();
            return outcome;
        }

        boolean hasExactly(int ownStatus, String ownBody) {
            return outcome.equals("complete")
                    && status == ownStatus
                    && !headers.contains(FIRST_ID)
                    && !headers.contains("HTTP/1.")
                    && body.toString().equals(ownBody);
        }

        @Override
        public boolean matches(HttpResponse head, boolean firstOnConnection) {
            String v = head.headers().get("id");
            return v == null ? firstOnConnection : v.equals(id);
        }

        @Override
        public void onHead(HttpResponse head) {
            status = head.status().code();
            headers = head.status().reasonPhrase() + " " + head.headers().entries();
        }

        @Override
        public void onBody(byte[] chunk) {
            body.append(new String(chunk, StandardCharsets.ISO_8859_1));
        }

        @Override
        public void onComplete() {
            ended.complete("complete");
        }

        @Override
        public void onFailure(boolean notSent, String cause) {
            ended.complete("failed");
        }

        @Override
        public String toString() {
            return outcome + " " + status + " " + headers + " " + body;
        }
    }
}
