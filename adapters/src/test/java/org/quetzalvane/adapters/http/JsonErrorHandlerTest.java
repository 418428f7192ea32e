package org.quetzalvane.adapters.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;

import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.junit.jupiter.api.Test;
import org.quetzalvane.core.ResultCode;

import static org.assertj.core.api.Assertions.assertThat;

/** Errors that Jetty detects outside of routes, such as those of a stopping server, have a result code. */
class JsonErrorHandlerTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(20);

    @Test
    void reportsStatus503AsDrainingAndNotRun() throws Exception {
        Server server = new Server(new InetSocketAddress("127.0.0.1", 0));
        server.setErrorHandler(new JsonErrorHandler());
        server.setHandler(new Handler.Abstract() {
            @Override
            public boolean handle(Request request, Response response, Callback callback) {
                Response.writeError(request, response, callback, 503);
                return true;
            }
        });
        server.start();
        int port = ((ServerConnector) server.getConnectors()[0]).getLocalPort();
        try (BufferingHttpClient httpClient = BufferingHttpClient.start()) {
            BufferingHttpClient.Response response =
                    httpClient.get("http://127.0.0.1:" + port + "/x", TIMEOUT).join();
            assertThat(response.status()).isEqualTo(503);
            assertThat(Json.parse(response.body()).path("code").asInt()).isEqualTo(ResultCode.DRAINING.number());
            assertThat(Json.parse(response.body()).path("notRun").asBoolean()).isTrue();
        } finally {
            server.stop();
        }
    }

    @Test
    void reportsErrorsDetectedByJettyWithResultCode() throws Exception {
        try (JettyHttpServer httpServer = JettyHttpServer.builder().start("127.0.0.1:0");
                Socket socket = new Socket("127.0.0.1", httpServer.port())) {
            socket.getOutputStream().write("GET /x HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            assertThat(readResponse(socket)).contains("\"code\":" + ResultCode.MALFORMED_REQUEST.number());
        }
    }

    private static String readResponse(Socket socket) throws IOException {
        return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
    }
}
