package org.quetzalvane.entry;

import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;

import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.extension.RegisterExtension;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.quetzalvane.platform.BootSettings;
import org.quetzalvane.platform.standin.CallerClient;
import org.quetzalvane.platform.standin.RawEndpointStandIn;
import org.quetzalvane.platform.standin.RawEndpointStandIn.End;
import org.quetzalvane.platform.standin.RawEndpointStandIn.Reply;
import org.quetzalvane.platform.standin.SampleConfig;

import static org.assertj.core.api.Assertions.assertThat;

/** Streams that break off and whose next endpoint answers with something else than the rest, over loopback. */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class ResumedStreamErrorTest {
    private static final int RETRIES = 10_000;
    private static final String BEGINNING = "id: 1\ndata: a\n\n";
    private static final String BROKEN_BEGINNING = BEGINNING + "id: 2\ndata: ha";
    private static final String REST = "id: 2\ndata: b\n\n";
    private static final String ERROR = "id: 9\ndata: upstream error\n\n";

    @RegisterExtension
    final LoopbackCluster cluster = new LoopbackCluster();

    private final AtomicInteger calls = new AtomicInteger();
    private final AtomicInteger resumed = new AtomicInteger();
    private volatile Function<String, Reply> onFirst;
    private volatile Function<String, Reply> onResumed;
    private String node;

    @ParameterizedTest
    @CsvSource({
        "text/event-stream, signed",
        "text/event-stream, ''",
        "text/plain, signed",
        "'', signed",
    })
    void answerThatIsNoStreamNeverReachesTheCaller(String type, String signature) throws Exception {
        for (int status : List.of(99, 101, 103, 200, 202, 204, 206, 302, 304, 400, 404, 500, 502, 503, 999)) {
            if (status == 200 && type.equals("text/event-stream") && !signature.isEmpty()) {
                continue;
            }
            for (Framing framing : Framing.values()) {
                ReceivedResponse received = breakOffThenAnswer(request -> {
                    String head = "HTTP/1.1 %03d X\r\n%s: %s\r\n"
                                    .formatted(
                                            status,
                                            CallerClient.ID_HEADER,
                                            RawEndpointStandIn.header(request, CallerClient.ID_HEADER))
                            + (signature.isEmpty()
                                    ? ""
                                    : RawEndpointStandIn.SIGNATURE_HEADER + ": " + signature + "\r\n")
                            + (type.isEmpty() ? "" : "Content-Type: " + type + "\r\n");
                    return new Reply(framing.frame(head, ERROR), End.CLOSE);
                });
                assertBrokenOffAfterBeginning(received);
            }
        }
    }

    /** An endpoint wrote the head of an error within its own stream, which callers got as an event. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                BEGINNING + "HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\n\r\nupstream error\n\n",
                BEGINNING + "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n",
                BEGINNING + "HTTP/1.0 200 OK\r\n\r\n" + ERROR,
                BEGINNING + "id: 2\nHTTP/1.1 502 Bad Gateway\r\nContent-Length: 16\r\n\r\nupstream error\n\n",
                BEGINNING + "id: 2\ndata: haHTTP/1.1 502 Bad Gateway\r\nServer: x\r\n\r\nupstream error\n\n",
                BEGINNING + "id: 2\ndata: haHTTP/1.1 500 \nServer: x\n\nupstream error\n\n",
            })
    void headWithinAStreamBreaksItOff(String stream) throws Exception {
        for (Framing framing : Framing.values()) {
            ReceivedResponse whole = callResumed(
                    request -> new Reply(framing.frame(streamHead(request), stream), End.CLOSE),
                    request -> new Reply(Framing.LENGTH.frame(streamHead(request), REST), End.KEEP));
            assertThat(whole.body()).isEqualTo(BEGINNING + REST);
            assertThat(whole.complete()).isTrue();
            ReceivedResponse broken = callResumed(
                    request -> new Reply(framing.frame(streamHead(request), stream), End.CLOSE),
                    request -> new Reply("", End.CLOSE));
            assertBrokenOffAfterBeginning(broken);
        }
    }

    /** The generated text of an event may name the version of the protocol. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "id: 1\ndata: HTTP/1.1 200 OK\n\n",
                "id: 1\ndata: HTTP/1.1 200 OK\ndata: Server: x\nevent: e\nretry: 1\n: comment\n\n",
                "x-weight-versions: 2\nid: 1\ndata: GET / HTTP/1.1\r\n\r\n",
            })
    void textThatNamesTheProtocolIsPassedOn(String events) throws Exception {
        ReceivedResponse received = call(
                request -> new Reply(Framing.CHUNKS.frame(streamHead(request), events), End.KEEP),
                request -> new Reply("", End.CLOSE));
        assertThat(received.body()).isEqualTo(events);
        assertThat(received.complete()).isTrue();
    }

    private ReceivedResponse breakOffThenAnswer(Function<String, Reply> answer) throws Exception {
        return callResumed(
                request -> new Reply(Framing.NONE.frame(streamHead(request), BROKEN_BEGINNING), End.CLOSE), answer);
    }

    /** Repeats a call whose stream no endpoint was asked to resume. */
    private ReceivedResponse callResumed(Function<String, Reply> first, Function<String, Reply> next) throws Exception {
        int before = resumed.get();
        ReceivedResponse received = call(first, next);
        while (resumed.get() == before) {
            assertBrokenOffAfterBeginning(received);
            received = call(first, next);
        }
        return received;
    }

    private ReceivedResponse call(Function<String, Reply> first, Function<String, Reply> next) throws Exception {
        onFirst = first;
        onResumed = next;
        String path = "/events/" + calls.incrementAndGet();
        return ReceivedResponse.parse(CallerClient.send(node(), "POST", path, "id-" + calls.get(), "m/a1"));
    }

    private Reply reply(String request) {
        if (RawEndpointStandIn.resumesStream(request)) {
            resumed.incrementAndGet();
            return onResumed.apply(request);
        }
        return onFirst.apply(request);
    }

    private String node() throws Exception {
        if (node == null) {
            for (int n = 1; n <= 2; n++) {
                RawEndpointStandIn e = cluster.add(new RawEndpointStandIn(this::reply));
                cluster.store().writeEndpoint("e" + n, e.entry());
            }
            cluster.store().writeConfig(SampleConfig.withVersion(1));
            BootSettings settings =
                    TestSettings.withRetryBudget("n1", Set.of(), cluster.store().address(), 1, RETRIES);
            node = cluster.startNode(settings).callerAddress();
        }
        return node;
    }

    private static String streamHead(String request) {
        return RawEndpointStandIn.streamHead(request, "text/event-stream");
    }

    private static void assertBrokenOffAfterBeginning(ReceivedResponse received) {
        assertThat(received.status()).isEqualTo(200);
        assertThat(received.signed()).isTrue();
        assertThat(received.body()).isEqualTo(BEGINNING);
        assertThat(received.complete()).as(received.toString()).isFalse();
    }
}
