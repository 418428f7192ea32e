package org.quetzalvane.transport;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Status lines that are, and are not, those of HTTP. */
@Timeout(value = 30, unit = TimeUnit.SECONDS)
class StatusLineTest {
    private static final String REST = "\r\nContent-Length: 2\r\n\r\nok";

    private final NettyEventLoop loop = new NettyEventLoop();
    private final HttpClient client = new HttpClient(loop, 5_000);
    private final List<Socket> accepted = new CopyOnWriteArrayList<>();
    private final List<String> foreign = new CopyOnWriteArrayList<>();
    private final ServerSocket server = open();

    private static ServerSocket open() {
        try {
            return new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    @AfterEach
    void close() throws IOException {
        loop.close();
        server.close();
        for (Socket s : accepted) {
            s.close();
        }
    }

    /** A status below 100 was taken for an interim response, so that the caller waited for nothing; others went on. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 000 OK",
                "HTTP/1.1 000",
                "HTTP/1.1 099 OK",
                "HTTP/1.1 20 OK",
                "HTTP/1.1 0200 OK",
                "HTTP/1.1 +200 OK",
                "HTTP/1.1 600 OK",
                "HTTP/1.1 999 OK",
                "HTTP/1.1 2000 OK",
                "HTTP/1.1 200x OK",
                "HTTP/1.1 -20 OK",
                "HTTP/1.1 OK",
                "HTTP/1.1 200 O\u0000K",
                "HTTP/1.1 200 O\u001bK",
                "HTTP/1.1 200 OK\u007f"
            })
    void responseWithAnotherStatusLineIsBroken(String line) throws Exception {
        CompletableFuture<String> outcome = send(line + REST);
        assertThat(outcome.get(5, TimeUnit.SECONDS)).startsWith("failed, sent: invalid HTTP response");
        assertThat(foreign).isNotEmpty();
        assertThat(accepted.get(0).getInputStream().read())
                .as("the connection is closed")
                .isNegative();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK",
                "HTTP/1.1 200",
                "HTTP/1.1 200 ",
                "HTTP/1.1 599 Any",
                "HTTP/1.1 299 a\tb \u00e9 3",
                "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 404 Not Found",
                "HTTP/1.1 199 Any\r\n\r\nHTTP/1.1 200 OK"
            })
    void responseWithAStatusLineIsPassedOn(String line) throws Exception {
        assertThat(send(line + REST).get(5, TimeUnit.SECONDS)).startsWith("complete ");
        assertThat(foreign).isEmpty();
    }

    /** Sends a request that is answered with the bytes; the result tells its outcome. */
    private CompletableFuture<String> send(String bytes) {
        Thread t = new Thread(() -> answer(bytes));
        t.setDaemon(true);
        t.start();
        CompletableFuture<String> outcome = new CompletableFuture<>();
        client.onForeignResponse((from, what) -> foreign.add(what));
        InetSocketAddress to = new InetSocketAddress(server.getInetAddress(), server.getLocalPort());
        FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/");
        request.headers().set(HttpHeaderNames.HOST, "x");
        loop.execute(() -> client.send(to, request, Long.MAX_VALUE, new HttpResponseListener() {
            private int status;

            @Override
            public void onHead(HttpResponse head) {
                status = head.status().code();
            }

            @Override
            public void onBody(byte[] chunk) {}

            @Override
            public void onComplete() {
                outcome.complete("complete " + status);
            }

            @Override
            public void onFailure(boolean notSent, String cause) {
                outcome.complete("failed, " + (notSent ? "not sent" : "sent") + ": " + cause);
            }
        }));
        return outcome;
    }

    private void answer(String bytes) {
        try {
            Socket s = server.accept();
            accepted.add(s);
            InputStream in = s.getInputStream();
            StringBuilder head = new StringBuilder();
            while (head.indexOf("\r\n\r\n") < 0) {
                head.append((char) in.read());
            }
            s.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }
}
