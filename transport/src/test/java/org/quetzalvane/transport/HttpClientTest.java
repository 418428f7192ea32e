package org.quetzalvane.transport;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Framing of responses from a server that sends the given bytes. */
@Timeout(value = 30, unit = TimeUnit.SECONDS)
class HttpClientTest {
    private final NettyEventLoop loop = new NettyEventLoop();
    private final HttpClient client = new HttpClient(loop, 2_000);
    private final List<Socket> accepted = new ArrayList<>();
    private final ServerSocket server = open();

    private static ServerSocket open() {
        try {
            return new ServerSocket(0);
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

    private static String response(String id, String body) {
        return "HTTP/1.1 200 OK\r\nid: " + id + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    private CompletableFuture<String> call(String id) {
        CompletableFuture<String> result = new CompletableFuture<>();
        FullHttpRequest r = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/" + id);
        InetSocketAddress to = new InetSocketAddress("127.0.0.1", server.getLocalPort());
        loop.execute(() -> client.send(to, r, Long.MAX_VALUE, new ResponseRecorder(id, result)));
        return result;
    }

    private Socket accept() throws IOException {
        Socket s = server.accept();
        accepted.add(s);
        return s;
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
        s.getOutputStream().flush();
    }

    @Test
    void connectionIsReusedForNextCall() throws Exception {
        CompletableFuture<String> first = call("1");
        Socket s = accept();
        readRequest(s);
        write(s, response("1", "one"));
        assertThat(first.get()).isEqualTo("one");
        CompletableFuture<String> second = call("2");
        readRequest(s);
        write(s, response("2", "two"));
        assertThat(second.get()).isEqualTo("two");
    }

    @Test
    void responseToEarlierRequestIsDiscarded() throws Exception {
        CompletableFuture<String> c = call("2");
        Socket s = accept();
        readRequest(s);
        write(s, response("1", "another's") + response("2", "mine"));
        assertThat(c.get()).isEqualTo("mine");
    }

    /** A second response without an id was taken for that to the next call. */
    @Test
    void responseWithoutIdIsDiscardedOnAConnectionThatCarriedACall() throws Exception {
        String anonymous = response("", "refused").replace("id: \r\n", "");
        CompletableFuture<String> first = call("1");
        Socket s = accept();
        readRequest(s);
        write(s, anonymous);
        assertThat(first.get()).isEqualTo("refused");
        CompletableFuture<String> second = call("2");
        readRequest(s);
        write(s, anonymous + response("2", "two"));
        assertThat(second.get()).isEqualTo("two");
    }

    /** A server that wrote a second response may owe one on its other connections too. */
    @Test
    void idleConnectionsAreClosedAfterAResponseToAnotherCall() throws Exception {
        List<Socket> sockets = new ArrayList<>();
        List<CompletableFuture<String>> calls = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            calls.add(call("" + i));
            sockets.add(accept());
            readRequest(sockets.get(i));
        }
        for (int i = 0; i < 2; i++) {
            write(sockets.get(i), response("" + i, "done"));
            calls.get(i).get();
        }
        CompletableFuture<String> seen = new CompletableFuture<>();
        loop.execute(() -> client.onForeignResponse((from, what) -> seen.complete(what)));
        CompletableFuture<String> third = call("3");
        readRequest(sockets.get(1));
        write(sockets.get(1), response("1", "done") + response("3", "three"));
        assertThat(third.get()).isEqualTo("three");
        assertThat(seen.get()).isEqualTo("response to another call, kept connection");
        for (Socket s : sockets) {
            s.setSoTimeout(5_000);
            assertThat(s.getInputStream().read()).isEqualTo(-1);
        }
    }

    /** The rest of a response whose call was cancelled is no second response. */
    @Test
    void restOfACancelledResponseIsNotReportedAsForeign() throws Exception {
        CompletableFuture<String> seen = new CompletableFuture<>();
        loop.execute(() -> client.onForeignResponse((from, what) -> seen.complete(what)));
        CompletableFuture<Boolean> cancelled = new CompletableFuture<>();
        HttpClient.Call[] sent = new HttpClient.Call[1];
        HttpResponseListener r = new HttpResponseListener() {
            @Override
            public void onHead(HttpResponse head) {
                sent[0].cancel();
                cancelled.complete(true);
            }

            @Override
            public void onBody(byte[] chunk) {}

            @Override
            public void onComplete() {}

            @Override
            public void onFailure(boolean notSent, String cause) {}
        };
        FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/1");
        InetSocketAddress to = new InetSocketAddress("127.0.0.1", server.getLocalPort());
        loop.execute(() -> sent[0] = client.send(to, request, Long.MAX_VALUE, r));
        Socket s = accept();
        readRequest(s);
        write(s, response("1", "a body"));
        assertThat(cancelled.get()).isTrue();
        assertThat(s.getInputStream().read()).isEqualTo(-1);
        CompletableFuture<Void> handled = new CompletableFuture<>();
        loop.execute(() -> handled.complete(null));
        handled.get();
        assertThat(seen).isNotDone();
    }

    /** A reset shows the end of a server, also on an idle connection beside others; an orderly close does not. */
    @ParameterizedTest
    @CsvSource({"RESET, 2, true", "CLOSE, 2, false", "CLOSE, 1, true", "CLOSE_WITHIN_CALL, 2, true"})
    void addressIsReportedWhenAConnectionBreaksOrTheLastOneCloses(String end, int open, boolean reported)
            throws Exception {
        CompletableFuture<InetSocketAddress> lost = new CompletableFuture<>();
        List<Socket> sockets = new ArrayList<>();
        List<CompletableFuture<String>> calls = new ArrayList<>();
        for (int i = 0; i < open; i++) {
            calls.add(call(""));
            sockets.add(accept());
            readRequest(sockets.get(i));
        }
        loop.execute(() -> client.onConnectionLost(lost::complete));
        if (!end.equals("CLOSE_WITHIN_CALL")) {
            for (int i = 0; i < open; i++) {
                write(sockets.get(i), response("", "done"));
                calls.get(i).get();
            }
        }
        sockets.get(0).setSoLinger(end.equals("RESET"), 0);
        sockets.get(0).close();
        TimeUnit.MILLISECONDS.sleep(RESET_DELAY_MS);
        assertThat(lost.isDone()).isEqualTo(reported);
    }

    @Test
    void bytesAfterCompleteResponseCloseConnection() throws Exception {
        CompletableFuture<String> first = call("1");
        Socket s = accept();
        readRequest(s);
        write(s, response("1", "one"));
        first.get();
        write(s, response("1", "one more"));
        assertThat(s.getInputStream().read()).isEqualTo(-1);
        CompletableFuture<String> second = call("2");
        Socket fresh = accept();
        readRequest(fresh);
        write(fresh, response("2", "two"));
        assertThat(second.get()).isEqualTo("two");
    }

    @ParameterizedTest
    @CsvSource({
        "'HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf', false, failed",
        "'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n', false, failed",
        "'HTTP/1.1 200 OK\r\n\r\nto the end', false, to the end",
        "'HTTP/1.1 200 OK\r\n\r\nto the', true, failed",
        "'no answer at all\r\n\r\n', false, failed",
        "'', false, failed",
    })
    void responseIsCompleteOnlyIfItsFramingIsComplete(String bytes, boolean reset, String expected) throws Exception {
        CompletableFuture<String> c = call("");
        Socket s = accept();
        readRequest(s);
        write(s, bytes);
        if (reset) {
            TimeUnit.MILLISECONDS.sleep(RESET_DELAY_MS);
            s.setSoLinger(true, 0);
        }
        s.close();
        assertThat(c.get()).isEqualTo(expected);
    }

    /** Delay, ms, so that the body arrives before the reset, which would otherwise discard it. */
    private static final long RESET_DELAY_MS = 100;

    @Test
    void refusedConnectionIsReportedAsNotSent() throws Exception {
        server.close();
        assertThat(call("1").get()).isEqualTo("not sent");
    }

    private record ResponseRecorder(String id, CompletableFuture<String> result) implements HttpResponseListener {
        private static final StringBuilder BODY = new StringBuilder();

        ResponseRecorder {
            BODY.setLength(0);
        }

        @Override
        public boolean matches(HttpResponse head, boolean firstOnConnection) {
            String v = head.headers().get("id");
            return v == null ? firstOnConnection : v.equals(id);
        }

        @Override
        public void onHead(HttpResponse head) {}

        @Override
        public void onBody(byte[] chunk) {
            BODY.append(new String(chunk, StandardCharsets.ISO_8859_1));
        }

        @Override
        public void onComplete() {
            result.complete(BODY.toString());
        }

        @Override
        public void onFailure(boolean notSent, String cause) {
            result.complete(notSent ? "not sent" : "failed");
        }
    }
}
