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
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/** What the client reports of a response that its server cuts off after each of its bytes. */
@Timeout(value = 30, unit = TimeUnit.SECONDS)
class TruncatedResponseTest {
    /** Delay, ms, so that the bytes arrive before a reset, which would otherwise discard them. */
    private static final long RESET_DELAY_MS = 100;

    private static final String CHUNKED = "Transfer-Encoding: chunked\r\n\r\n";

    private final NettyEventLoop loop = new NettyEventLoop();
    private final HttpClient client = new HttpClient(loop, 5_000);
    private final ServerSocket server = open();
    private final List<Socket> accepted = new ArrayList<>();

    /** How the server ends the connection. */
    private enum End {
        CLOSE,
        RESET
    }

    /** A response whose body ends with the connection is complete after its head if the connection was closed. */
    private enum Response {
        LENGTH("HTTP/1.1 200 OK\r\nid: 1\r\nContent-Length: 12\r\n\r\n", "twelve bytes"),
        NO_BODY("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n", ""),
        CHUNKS("HTTP/1.1 200 OK\r\nid: 1\r\n" + CHUNKED, "5;x=y\r\nfirst\r\n6\r\nsecond\r\n0\r\n\r\n"),
        TRAILERS("HTTP/1.1 200 OK\r\n" + CHUNKED, "3\r\none\r\n0\r\nsum: 3\r\nContent-Length: 3\r\n\r\n"),
        INTERIM(
                "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\n"
                        + "Content-Length: 4\r\n\r\n",
                "four"),
        NO_CONTENT("HTTP/1.1 204 No Content\r\nid: 1\r\n\r\n", ""),
        NOT_MODIFIED("HTTP/1.1 304 Not Modified\r\nContent-Length: 20\r\n\r\n", ""),
        UNDELIMITED("HTTP/1.1 200 OK\r\nid: 1\r\nsignature: 3e1b.07\r\n\r\n", "to the end"),
        UNDELIMITED_ERROR("HTTP/1.1 500 Internal Server Error\r\n\r\n", "to the end"),
        UNDELIMITED_OLD_VERSION("HTTP/1.0 200 OK\r\nid: 1\r\n\r\n", "to the end");

        private final String head;
        private final String body;

        Response(String head, String body) {
            this.head = head;
            this.body = body;
        }

        private String bytes() {
            return head + body;
        }

        private boolean isCompleteAfter(int bytes, End end) {
            return name().startsWith("UNDELIMITED")
                    ? end == End.CLOSE && bytes >= head.length()
                    : bytes == bytes().length();
        }
    }

    private static ServerSocket open() {
        try {
            return new ServerSocket(0, 1_024, InetAddress.getLoopbackAddress());
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    @AfterEach
    void close() throws IOException {
        server.close();
        for (Socket s : accepted) {
            s.close();
        }
        loop.close();
    }

    private static Stream<Arguments> responses() {
        return Stream.of(Response.values()).flatMap(r -> Stream.of(End.values()).map(end -> Arguments.of(r, end)));
    }

    @ParameterizedTest
    @MethodSource("responses")
    void responseCutAfterAnyByteIsNeverComplete(Response response, End end) throws Exception {
        List<Recorder> calls = callCutAfterEachByte(response.bytes(), HttpMethod.GET, end);
        for (int cut = 0; cut < calls.size(); cut++) {
            Recorder seen = calls.get(cut);
            boolean complete = response.isCompleteAfter(cut, end);
            assertThat(seen.outcome())
                    .as("%s cut after %d bytes", response, cut)
                    .isEqualTo(complete ? "complete" : "failed");
            assertThat(seen.heads)
                    .as("%s cut after %d bytes", response, cut)
                    .isEqualTo(cut >= response.head.length() ? 1 : 0);
            assertThat(seen.bodyBeforeHead).isFalse();
        }
    }

    /** An endpoint that ended while it wrote a head looked like one that had written nothing. */
    @ParameterizedTest
    @EnumSource(
            value = Response.class,
            names = {"LENGTH", "CHUNKS", "UNDELIMITED", "UNDELIMITED_ERROR"})
    void partOfAHeadIsReportedOnceAndNotBesideAWholeOne(Response response) throws Exception {
        List<Recorder> calls = callCutAfterEachByte(response.bytes(), HttpMethod.GET, End.RESET);
        for (int cut = 0; cut < calls.size(); cut++) {
            calls.get(cut).outcome();
            assertThat(calls.get(cut).partsOfHead)
                    .as("%s cut after %d bytes", response, cut)
                    .isEqualTo(cut > 0 && cut < response.head.length() ? 1 : 0);
        }
    }

    /** An interim response says nothing of the beginning of the final one. */
    @Test
    void interimHeadIsNoPartOfTheHead() throws Exception {
        String interim = "HTTP/1.1 100 Continue\r\n\r\n";
        List<Recorder> calls = callCutAfterEachByte(interim, HttpMethod.GET, End.CLOSE);
        Recorder whole = calls.get(interim.length());
        assertThat(whole.outcome()).isEqualTo("failed");
        assertThat(whole.partsOfHead).isZero();
    }

    @ParameterizedTest
    @EnumSource(End.class)
    void headOfAResponseToAHeadRequestCutAfterAnyByteIsNeverComplete(End end) throws Exception {
        String head = Response.LENGTH.head;
        List<Recorder> calls = callCutAfterEachByte(head, HttpMethod.HEAD, end);
        for (int cut = 0; cut < calls.size(); cut++) {
            assertThat(calls.get(cut).outcome())
                    .as("cut after %d bytes", cut)
                    .isEqualTo(cut == head.length() ? "complete" : "failed");
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "Content-Length: 4\r\nContent-Length: 40",
                "Content-Length: 4\r\nContent-Length: 4",
                "Content-Length: 4, 40",
                "Content-Length: 4x",
                "Content-Length: -4",
                "Content-Length: +4",
                "Content-Length: ",
                "Content-Length: 99999999999999999999",
                "HTTP/1.1 200 OK\r\nContent-Length: 4",
                "id: 1\r\nHTTP/1.1 500 Internal Server Error\r\nContent-Length: 4",
            })
    void malformedHeadIsAFailureWithoutAHead(String headers) throws Exception {
        String response = "HTTP/1.1 200 OK\r\n" + headers + "\r\n\r\nfour";
        Recorder seen = call(HttpMethod.GET);
        Socket s = acceptRequest();
        write(s, response);
        s.close();
        assertThat(seen.outcome()).isEqualTo("failed");
        assertThat(seen.heads).isZero();
    }

    /** Such bytes were reported as a failure of this program. */
    @Test
    void bytesAfterASwitchOfProtocolsFailTheCall() throws Exception {
        List<Throwable> reported = new CopyOnWriteArrayList<>();
        loop.onFailure(reported::add);
        Recorder seen = call(HttpMethod.GET);
        write(acceptRequest(), "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n" + Response.LENGTH.bytes());
        assertThat(seen.outcome()).isEqualTo("failed");
        assertThat(seen.heads).isZero();
        assertThat(reported).isEmpty();
    }

    /** The client's own close at the end of the event loop was taken for the end of the body. */
    @Test
    void responseWithoutFramingIsIncompleteWhenTheEventLoopIsClosed() throws Exception {
        Recorder seen = call(HttpMethod.GET);
        write(acceptRequest(), Response.UNDELIMITED.bytes());
        seen.awaitBody();
        loop.close();
        assertThat(seen.outcome()).isEqualTo("failed");
    }

    /** Calls once for each number of bytes up to the whole response, at the same time. */
    private List<Recorder> callCutAfterEachByte(String response, HttpMethod method, End end) throws Exception {
        List<Recorder> calls = new ArrayList<>();
        for (int cut = 0; cut <= response.length(); cut++) {
            calls.add(call(method));
            write(acceptRequest(), response.substring(0, cut));
        }
        if (end == End.RESET) {
            TimeUnit.MILLISECONDS.sleep(RESET_DELAY_MS);
        }
        for (Socket s : accepted) {
            s.setSoLinger(end == End.RESET, 0);
            s.close();
        }
        return calls;
    }

    private Recorder call(HttpMethod method) {
        Recorder seen = new Recorder();
        InetSocketAddress to = new InetSocketAddress(server.getInetAddress(), server.getLocalPort());
        loop.execute(() -> client.send(
                to, new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, "/"), HttpClient.NEW_CONNECTION, seen));
        return seen;
    }

    private Socket acceptRequest() throws IOException {
        Socket s = server.accept();
        accepted.add(s);
        InputStream in = s.getInputStream();
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            head.append((char) in.read());
        }
        return s;
    }

    private static void write(Socket s, String bytes) throws IOException {
        s.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Counts what the client reports. The counts are read after the outcome. */
    private static final class Recorder implements HttpResponseListener {
        private final CompletableFuture<String> outcome = new CompletableFuture<>();
        private final CompletableFuture<Void> body = new CompletableFuture<>();
        private int partsOfHead;
        private int heads;
        private int outcomes;
        private boolean bodyBeforeHead;

        String outcome() throws Exception {
            return outcome.get(20, TimeUnit.SECONDS);
        }

        void awaitBody() throws Exception {
            body.get(20, TimeUnit.SECONDS);
        }

        @Override
        public void onPartOfHead() {
            partsOfHead++;
        }

        @Override
        public void onHead(HttpResponse head) {
            heads++;
        }

        @Override
        public void onBody(byte[] chunk) {
            bodyBeforeHead |= heads == 0;
            body.complete(null);
        }

        @Override
        public void onComplete() {
            end("complete");
        }

        @Override
        public void onFailure(boolean notSent, String cause) {
            end(notSent ? "not sent" : "failed");
        }

        private void end(String how) {
            outcomes++;
            outcome.complete(outcomes == 1 && bodyBeforeHead ? "body before head" : how);
        }
    }
}
