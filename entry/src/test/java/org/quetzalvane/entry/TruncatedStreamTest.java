package org.quetzalvane.entry;

import java.util.Locale;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.extension.RegisterExtension;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.quetzalvane.platform.BootSettings;
import org.quetzalvane.platform.standin.CallerClient;
import org.quetzalvane.platform.standin.RawEndpointStandIn;
import org.quetzalvane.platform.standin.RawEndpointStandIn.End;
import org.quetzalvane.platform.standin.RawEndpointStandIn.Reply;
import org.quetzalvane.platform.standin.SampleConfig;

import static org.assertj.core.api.Assertions.assertThat;

/** Ends of event streams as a caller sees them, on new and kept connections, over loopback. */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class TruncatedStreamTest {
    private static final String EVENT = "id: 1\ndata: a\n\n";
    private static final String CUT_EVENT = EVENT + "id: 2\ndata: ha";

    @RegisterExtension
    final LoopbackCluster cluster = new LoopbackCluster();

    @ParameterizedTest
    @CsvSource({
        "/single/, NONE, CLOSE, text/event-stream",
        "/single/, NONE, CLOSE, Text/Event-Stream; charset=utf-8",
        "/single/, NONE, RESET, text/event-stream",
        "/single/, CHUNKS, KEEP, text/event-stream",
        "/single/, LENGTH, KEEP, text/event-stream",
        "/events/, NONE, CLOSE, text/event-stream",
        "/events/, NONE, CLOSE, Text/Event-Stream; charset=utf-8",
        "/events/, NONE, RESET, text/event-stream",
        "/events/, CHUNKS, KEEP, text/event-stream",
        "/events/, LENGTH, KEEP, text/event-stream",
    })
    void streamBrokenOffWithinAnEventIsNotFramedAsComplete(String path, Framing framing, End end, String contentType)
            throws Exception {
        String response = requestOnKeptConnections(path, framing, end, contentType, CUT_EVENT);
        assertThat(isFramedAsComplete(response)).as(response).isFalse();
    }

    @ParameterizedTest
    @CsvSource({"/single/, NONE, CLOSE", "/events/, NONE, CLOSE", "/single/, NONE, RESET"})
    void streamBrokenOffBeforeItsFirstEventIsNotFramedAsComplete(String path, Framing framing, End end)
            throws Exception {
        String response = requestOnKeptConnections(path, framing, end, "text/event-stream", "");
        assertThat(isFramedAsComplete(response)).as(response).isFalse();
    }

    @ParameterizedTest
    @CsvSource({
        "/single/, NONE, CLOSE",
        "/single/, CHUNKS, KEEP",
        "/single/, LENGTH, KEEP",
        "/events/, NONE, CLOSE",
        "/events/, CHUNKS, KEEP",
        "/events/, LENGTH, KEEP",
    })
    void streamThatEndsAfterAnEventIsComplete(String path, Framing framing, End end) throws Exception {
        String response = requestOnKeptConnections(path, framing, end, "text/event-stream", EVENT);
        assertThat(response).startsWith("HTTP/1.1 200").contains(EVENT).endsWith(Framing.LAST_CHUNK);
    }

    /** A resumed stream without an event ended as complete because events of an earlier attempt preceded it. */
    @ParameterizedTest
    @CsvSource({"1, NONE, false", "0, NONE, false", "1, CHUNKS, true", "1, LENGTH, true"})
    void resumedStreamWithoutEventsIsCompleteOnlyIfDelimited(int resumedByCallerAfter, Framing framing, boolean whole)
            throws Exception {
        for (int n = 1; n <= 2; n++) {
            RawEndpointStandIn engine = cluster.add(new RawEndpointStandIn(request -> {
                String head = RawEndpointStandIn.streamHead(request, "text/event-stream");
                boolean resumed = RawEndpointStandIn.resumesStream(request);
                return resumed
                        ? new Reply(framing.frame(head, ""), framing == Framing.NONE ? End.CLOSE : End.KEEP)
                        : new Reply(Framing.NONE.frame(head, CUT_EVENT), End.CLOSE);
            }));
            cluster.store().writeEndpoint("engine-" + n, engine.entry());
        }
        cluster.store().writeConfig(SampleConfig.withVersion(1));
        String node = cluster.startNode().callerAddress();
        String response = resumedByCallerAfter > 0
                ? CallerClient.resume(node, "/events/x", "second", "m/a1", "first", resumedByCallerAfter)
                : CallerClient.send(node, "POST", "/events/x", "first", "m/a1");
        assertThat(isFramedAsComplete(response)).as(response).isEqualTo(whole);
    }

    private static boolean isFramedAsComplete(String response) {
        boolean delimited =
                response.toLowerCase(Locale.ROOT).contains("content-length") || response.endsWith(Framing.LAST_CHUNK);
        return response.startsWith("HTTP/1.1 200") && delimited;
    }

    /**
     * Sends a request whose response is complete and then one with the given body, on one connection to the node, which
     * uses one connection to the engine for both if there is a single engine. Returns the second response.
     */
    private String requestOnKeptConnections(String path, Framing framing, End end, String contentType, String body)
            throws Exception {
        RawEndpointStandIn engine = cluster.add(new RawEndpointStandIn(request -> {
            boolean first =
                    RawEndpointStandIn.header(request, CallerClient.ID_HEADER).equals("first");
            String head = RawEndpointStandIn.streamHead(request, contentType);
            return first
                    ? new Reply(Framing.LENGTH.frame(head, EVENT), End.KEEP)
                    : new Reply(framing.frame(head, body), end);
        }));
        cluster.store().writeConfig(SampleConfig.withVersion(1));
        cluster.store().writeEndpoint("engine-1", engine.entry());
        BootSettings settings = cluster.startNode();
        String responses = CallerClient.sendRaw(
                settings.callerAddress(),
                CallerClient.request("POST", path + "x", "first", "m/a1", "")
                        + CallerClient.request("POST", path + "x", "second", "m/a1", "Connection: close\r\n"));
        assertThat(engine.requestsOnKeptConnections()).isPositive();
        return responses.substring(responses.lastIndexOf("HTTP/1.1 "));
    }
}
