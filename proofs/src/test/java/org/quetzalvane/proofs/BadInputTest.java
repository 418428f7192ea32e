package org.quetzalvane.proofs;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.stream.Stream;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.quetzalvane.core.ResultCode;
import org.quetzalvane.standins.harness.ConfigRecords;
import org.quetzalvane.standins.harness.LocalCluster;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Malformed, oversized or slow external input: each is reported with its result code, and the node continues to serve.
 */
class BadInputTest {
    private static final String TOKEN = "t";
    private static final String AUTHORIZATION_HEADER = "Authorization: Bearer " + TOKEN + "\r\n";
    private static LocalCluster cluster;

    @BeforeAll
    static void start() throws IOException {
        cluster = LocalCluster.builder()
                .nodes(1)
                .engines(1)
                .readTimeoutMillis(1000)
                .start();
        cluster.publishEndpointsAndAdapters(TOKEN, "a1");
    }

    @AfterAll
    static void stop() {
        cluster.close();
    }

    static Stream<Arguments> requests() {
        return Stream.of(
                Arguments.of("GET /nowhere HTTP/1.1", "", "", ResultCode.UNKNOWN_PATH),
                Arguments.of("POST /v1/completions HTTP/1.1", "", "{}", ResultCode.UNAUTHENTICATED),
                Arguments.of("POST /v1/completions HTTP/1.1", AUTHORIZATION_HEADER, "{", ResultCode.MALFORMED_REQUEST),
                Arguments.of("POST /v1/completions HTTP/1.1", AUTHORIZATION_HEADER, "[]", ResultCode.MALFORMED_REQUEST),
                Arguments.of(
                        "POST /v1/completions HTTP/1.1",
                        AUTHORIZATION_HEADER,
                        "{\"adapter\":\"a1\",\"version\":\"x\"}",
                        ResultCode.MALFORMED_REQUEST),
                Arguments.of(
                        "POST /v1/completions HTTP/1.1",
                        AUTHORIZATION_HEADER,
                        "{\"adapter\":\"a1\",\"version\":1,\"prompt\":\"p\",\"max_tokens\":-1}",
                        ResultCode.MALFORMED_REQUEST),
                Arguments.of(
                        "POST /v1/completions HTTP/1.1",
                        AUTHORIZATION_HEADER,
                        "x".repeat(2 << 20),
                        ResultCode.REQUEST_TOO_LARGE),
                Arguments.of(
                        "GET /v1/resolve?adapter=a1 HTTP/1.1", AUTHORIZATION_HEADER, "", ResultCode.MALFORMED_REQUEST));
    }

    @ParameterizedTest
    @MethodSource("requests")
    void reportsResultCode(String requestLine, String headers, String body, ResultCode expected) throws IOException {
        String response = send(requestLine + "\r\nHost: x\r\nConnection: close\r\n" + headers + "Content-Length: "
                + body.length() + "\r\n\r\n" + body);
        assertThat(response).contains("\"code\":" + expected.number());
        assertStillServes();
    }

    @Test
    void rejectsSlowBodyAndFreesTheConnection() throws IOException {
        String response = send("POST /v1/completions HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
                + AUTHORIZATION_HEADER + "Content-Length: 100\r\n\r\n{\"adapter\"");
        assertThat(response).contains("\"code\":" + ResultCode.REQUEST_TOO_SLOW.number());
        assertStillServes();
    }

    @Test
    void rejectsNonHttpInput() throws IOException {
        assertThat(send("\u0016\u0003\u0001 nonsense\r\n\r\n")).contains("400");
        assertStillServes();
    }

    @Test
    void rejectsInvalidRecordsAndContinues() throws IOException {
        ObjectNode unknown = ConfigRecords.baseModel("other").put("schema", 9);
        cluster.append("config", unknown.toString());
        cluster.append("config", "not json");
        cluster.publish(ConfigRecords.baseModel("after-bad-records"));
        String timeline = cluster.get("http://" + cluster.operatorAddress("n1") + "/timeline")
                .toString();
        assertThat(timeline).contains("UNKNOWN_SCHEMA").contains("RECORD_MALFORMED");
        assertStillServes();
    }

    @Test
    void closesPeerConnectionAfterInvalidFrame() throws IOException {
        String[] address = cluster.peerAddress("n1").split(":");
        try (Socket socket = new Socket(address[0], Integer.parseInt(address[1]))) {
            socket.getOutputStream().write(new byte[] {0x7f, -1, -1, -1, 1, 2, 3});
            assertThat(readAll(socket)).isNotNull();
        }
        assertStillServes();
    }

    private static void assertStillServes() {
        assertThat(cluster.caller(TOKEN).complete("a1", 1, "p", 2).isComplete()).isTrue();
    }

    private static String send(String request) throws IOException {
        String[] address = cluster.callerAddress("n1").split(":");
        try (Socket socket = new Socket(address[0], Integer.parseInt(address[1]))) {
            try {
                socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            } catch (IOException e) {
                assertThat(e)
                        .as("the server may respond before it has read the complete request")
                        .isNotNull();
            }
            return readAll(socket);
        }
    }

    private static String readAll(Socket socket) {
        StringBuilder text = new StringBuilder();
        try {
            InputStream in = socket.getInputStream();
            for (int b = in.read(); b >= 0; b = in.read()) {
                text.append((char) b);
            }
        } catch (IOException e) {
            text.append(' ');
        }
        return text.toString();
    }
}
