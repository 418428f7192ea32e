package org.quetzalvane.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.extension.RegisterExtension;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.quetzalvane.platform.standin.CallerClient;
import org.quetzalvane.platform.standin.RawEndpointStandIn;
import org.quetzalvane.platform.standin.RawEndpointStandIn.End;
import org.quetzalvane.platform.standin.RawEndpointStandIn.Reply;
import org.quetzalvane.platform.standin.SampleConfig;

import static org.assertj.core.api.Assertions.assertThat;

/** Endpoints that write a second response to an earlier request, broken off without a close, before the next one. */
@Timeout(value = 120, unit = TimeUnit.SECONDS)
class LateResponseNodeTest {
    private static final int ENDPOINTS = 4;
    private static final int SAMPLES = 40;
    private static final String EVENTS = "text/event-stream";

    @RegisterExtension
    final LoopbackCluster cluster = new LoopbackCluster();

    private final List<String> entries = new ArrayList<>();
    private final AtomicReference<String> late = new AtomicReference<>("");

    /** Callers got the status or headers of an earlier response with the body of their own. */
    @ParameterizedTest
    @CsvSource({
        "text/event-stream, 200",
        "text/event-stream, 500",
        "text/event-stream, 503",
        "text/plain, 200",
        "text/plain, 500",
        "text/plain, 503",
    })
    void callersNeverGetAPartOfAnEarlierResponse(String lateType, int status) throws Exception {
        for (int n = 0; n < ENDPOINTS; n++) {
            RawEndpointStandIn e = cluster.add(new RawEndpointStandIn(r -> respond(r, status)));
            entries.add(e.entry().replace("\"engines\"", "\"plain\""));
        }
        writeHeartbeats();
        cluster.store().writeConfig(SampleConfig.withVersion(1));
        String node = cluster.startNode().callerAddress();
        List<String> wrong = new ArrayList<>();
        int sent = 0;
        String whole = response("old", 200, lateType);
        for (int i = 0; i < SAMPLES; i++) {
            writeHeartbeats();
            CallerClient.send(node, "POST", "/again/x", "warm-" + i, null);
            int cut = 1 + i * whole.indexOf("\r\n\r\n") / SAMPLES;
            late.set(whole.substring(0, cut));
            String id = "own-" + i;
            String received = CallerClient.send(node, "POST", "/once/x", id, null);
            sent += late.getAndSet("").isEmpty() ? 1 : 0;
            if (!isOwn(received, id, status)) {
                wrong.add("cut after " + cut + " bytes: " + received);
            }
        }
        assertThat(wrong).isEmpty();
        assertThat(sent).isGreaterThan(SAMPLES / 2);
    }

    /** Whether a response is exactly the endpoint's own success, or no success and without a part of another. */
    private static boolean isOwn(String received, String id, int status) {
        boolean success = received.startsWith("HTTP/1.1 2");
        boolean whole = status == 200 && received.contains("data: 200 of " + id) && received.contains("text/own");
        return (!success || whole)
                && received.indexOf("HTTP/1.", 1) < 0
                && !received.contains("old")
                && !received.contains(EVENTS)
                && !received.contains("text/plain\r\nHTTP");
    }

    private Reply respond(String request, int status) {
        String id = RawEndpointStandIn.header(request, CallerClient.ID_HEADER);
        if (!id.startsWith("own-")) {
            return new Reply(response(id, 200, "text/own"), End.KEEP);
        }
        return new Reply(late.getAndSet("") + response(id, status, "text/own"), End.KEEP);
    }

    private static String response(String id, int status, String type) {
        String body = "data: " + status + " of " + id + "\n\n";
        String request = CallerClient.ID_HEADER + ": " + id + "\r\n";
        return RawEndpointStandIn.head(request, status, "signed-" + id, type)
                + (type.equals(EVENTS)
                        ? "Transfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(body.length()) + "\r\n" + body
                                + "\r\n0\r\n\r\n"
                        : "Content-Length: " + body.length() + "\r\n\r\n" + body);
    }

    private void writeHeartbeats() {
        for (int i = 0; i < entries.size(); i++) {
            cluster.store().writeEndpoint("e" + i, entries.get(i));
        }
    }
}
