package org.quetzalvane.entry;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.stream.Stream;

import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.extension.RegisterExtension;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.quetzalvane.platform.standin.CallerClient;
import org.quetzalvane.platform.standin.RawEndpointStandIn;
import org.quetzalvane.platform.standin.RawEndpointStandIn.End;
import org.quetzalvane.platform.standin.RawEndpointStandIn.Reply;
import org.quetzalvane.platform.standin.SampleConfig;

import static org.assertj.core.api.Assertions.assertThat;

/** Responses that endpoints cut off after each of their bytes, as callers see them, over loopback. */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class BrokenOffResponseTest {
    private static final int CONCURRENT_CALLERS = 8;
    private static final int RETRIES = 10_000;
    private static final String ID = "aaaaaaaa";
    private static final String PLAIN_BODY = "{\"answer\":42}";
    private static final String BEGINNING = "id: 1\ndata: a\n\n";
    private static final String BROKEN_BEGINNING = BEGINNING + "id: 2\ndata: ha";
    private static final String EVENTS = "id: 2\ndata: b\n\nid: 3\ndata: c\n\n";

    @RegisterExtension
    final LoopbackCluster cluster = new LoopbackCluster();

    private final Set<Integer> cutsSent = ConcurrentHashMap.newKeySet();

    /** Which response is cut off: each one to a request, or that to an attempt that resumes a stream. */
    private enum Exchange {
        PLAIN("/once/", "application/json", PLAIN_BODY),
        REPEATABLE("/again/", "application/json", PLAIN_BODY),
        STREAM("/single/", "text/event-stream", EVENTS),
        RESUMED_STREAM("/events/", "text/event-stream", EVENTS);

        private final String path;
        private final String contentType;
        private final String body;

        Exchange(String path, String contentType, String body) {
            this.path = path;
            this.contentType = contentType;
            this.body = body;
        }

        private boolean streams() {
            return body.equals(EVENTS);
        }

        /** Prefix of each body that the caller may get, which the events of an earlier attempt precede. */
        private String bodySent(String part) {
            return this == RESUMED_STREAM ? BEGINNING + part : part;
        }

        /** Whether the parts of a body that an orderly close ends are complete, if the body has no other end. */
        private boolean mayEndAfter(String part) {
            return !streams() || part.endsWith("\n\n");
        }

        private String head(String request) {
            return RawEndpointStandIn.streamHead(request, contentType);
        }
    }

    /** A reset within a response with framing is left to the tests of the client. */
    private static Stream<Arguments> cases() {
        return Stream.of(Exchange.values())
                .flatMap(exchange -> Stream.concat(
                        Stream.of(Framing.values()).map(framing -> Arguments.of(exchange, framing, End.CLOSE)),
                        Stream.of(Arguments.of(exchange, Framing.NONE, End.RESET))));
    }

    @ParameterizedTest
    @MethodSource("cases")
    void responseCutAfterAnyByteIsNeverFramedAsComplete(Exchange exchange, Framing framing, End end) throws Exception {
        String node = startNode(exchange, request -> {
            if (exchange == Exchange.RESUMED_STREAM && !RawEndpointStandIn.resumesStream(request)) {
                return new Reply(Framing.NONE.frame(exchange.head(request), BROKEN_BEGINNING), End.CLOSE);
            }
            cutsSent.add(cut(request));
            String whole = framing.frame(exchange.head(request), exchange.body);
            return new Reply(whole.substring(0, cut(request)), end);
        });
        String whole = framing.frame(exchange.head(CallerClient.request("POST", "/", ID, null, "")), exchange.body);
        List<ReceivedResponse> responses = call(node, exchange, whole.length());
        for (int cut = 0; cut < responses.size(); cut++) {
            check(exchange, framing, end, whole.substring(0, cut), cut == whole.length(), responses.get(cut));
        }
    }

    private static void check(
            Exchange exchange, Framing framing, End end, String sent, boolean whole, ReceivedResponse received) {
        String after = "cut after " + sent.length() + " bytes: " + received;
        boolean headSent = sent.contains("\r\n\r\n");
        assertThat(received.rest()).as(after).isEmpty();
        if (received.status() != 200) {
            assertThat(received.status()).as(after).isIn(0, 502, 504);
            assertThat(received.signed()).as(after).isFalse();
            assertThat(whole && end == End.CLOSE).as(after).isFalse();
            return;
        }
        assertThat(received.signed()).as(after).isTrue();
        assertThat(exchange.bodySent(exchange.body)).as(after).startsWith(received.body());
        if (framing == Framing.NONE && headSent && end == End.CLOSE) {
            String part = sent.substring(sent.indexOf("\r\n\r\n") + 4);
            assertThat(received.complete()).as(after).isEqualTo(exchange.mayEndAfter(part));
            assertThat(received.complete() && !received.body().equals(exchange.bodySent(part)))
                    .as(after)
                    .isFalse();
        } else {
            assertThat(received.complete()).as(after).isEqualTo(whole && framing != Framing.NONE);
        }
    }

    /** Calls for each length up to that of the whole response, which the path states. */
    private List<ReceivedResponse> call(String node, Exchange exchange, int wholeLength) throws Exception {
        List<Callable<ReceivedResponse>> calls = new ArrayList<>();
        for (int i = 0; i <= wholeLength; i++) {
            int cut = i;
            calls.add(() -> callUntilSent(node, exchange, cut));
        }
        ExecutorService callers = Executors.newFixedThreadPool(CONCURRENT_CALLERS);
        List<ReceivedResponse> responses = new ArrayList<>();
        for (Future<ReceivedResponse> f : callers.invokeAll(calls)) {
            responses.add(f.get());
        }
        callers.shutdown();
        return responses;
    }

    /** Repeats a call that no endpoint took, or whose stream none resumed, which must not be complete. */
    private ReceivedResponse callUntilSent(String node, Exchange exchange, int cut) throws IOException {
        String adapter = exchange.streams() ? "m/a1" : null;
        while (true) {
            String response = CallerClient.send(node, "POST", exchange.path + cut, ID, adapter);
            ReceivedResponse received = ReceivedResponse.parse(response);
            if (cutsSent.contains(cut)) {
                return received;
            }
            assertThat(received.status() == 200 && received.complete())
                    .as(response)
                    .isFalse();
        }
    }

    private static int cut(String request) {
        String path = request.split(" ", 3)[1];
        return Integer.parseInt(path.substring(path.lastIndexOf('/') + 1));
    }

    private String startNode(Exchange exchange, Function<String, Reply> behaviour) throws Exception {
        for (int n = 1; n <= 2; n++) {
            RawEndpointStandIn e = cluster.add(new RawEndpointStandIn(behaviour));
            String entry = exchange.streams() ? e.entry() : e.entry().replace("\"engines\"", "\"plain\"");
            cluster.store().writeEndpoint("e" + n, entry.replace("\"slots\":4", "\"slots\":" + CONCURRENT_CALLERS));
        }
        cluster.store().writeConfig(SampleConfig.withVersion(1));
        return cluster.startNode(TestSettings.withRetryBudget(
                        "n1", Set.of(), cluster.store().address(), 1, RETRIES))
                .callerAddress();
    }
}
