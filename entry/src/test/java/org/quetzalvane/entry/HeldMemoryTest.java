package org.quetzalvane.entry;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.quetzalvane.platform.standin.CallerClient;
import org.quetzalvane.platform.standin.PlatformStoreStandIn;
import org.quetzalvane.platform.standin.RawEndpointStandIn;
import org.quetzalvane.platform.standin.RawEndpointStandIn.End;
import org.quetzalvane.platform.standin.RawEndpointStandIn.Reply;
import org.quetzalvane.platform.standin.SampleConfig;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Bytes that a node in a process of its own holds for many requests at once, each within its bound and together more
 * than the heap.
 */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class HeldMemoryTest {
    private static final int HEAP_MB = 64;
    private static final int ENDPOINTS = 8;
    private static final int LARGE = 28;
    private static final int LARGE_BYTES = 4_000_000;
    private static final int MEDIUM = 100;
    private static final int MEDIUM_BYTES = 100_000;
    private static final int SMALL_BYTES = 600;
    private static final int SMALL_REQUESTS = 60;
    private static final int READ_TIMEOUT_MS = 20_000;
    private static final int STREAMS = 100;
    private static final String STREAM = "stream-";
    private static final String EVENT = "id: 1\ndata: a\n\n";
    private static final String PARTIAL_EVENT = "id: 2\ndata: " + "x".repeat(1_000_000);
    private static final String HELD = "held-";
    private static final String CLOSED = "closed";

    @TempDir
    private Path directory;

    private final PlatformStoreStandIn store = new PlatformStoreStandIn();
    private final List<RawEndpointStandIn> endpoints = new ArrayList<>();
    private final Set<String> sent = ConcurrentHashMap.newKeySet();
    private final CountDownLatch goOn = new CountDownLatch(1);
    private final ExecutorService callers = Executors.newCachedThreadPool();
    private EntryProcess node;

    /** What a caller got for a request. */
    private record Outcome(String id, String response) {
        boolean hasStatus(int status) {
            return response.startsWith("HTTP/1.1 " + status);
        }
    }

    private void startNode(int endpointCount) throws Exception {
        store.writeConfig(SampleConfig.withVersion(1));
        for (int i = 0; i < endpointCount; i++) {
            RawEndpointStandIn e = new RawEndpointStandIn(this::respond);
            e.beforeBody(this::beforeBody);
            endpoints.add(e);
            store.writeEndpoint("plain-" + i, e.plainEntry());
        }
        node = new EntryProcess(TestSettings.of("n1", Set.of(), store.address()), directory, HEAP_MB);
        node.awaitReady();
    }

    @AfterEach
    void close() {
        goOn.countDown();
        callers.shutdownNow();
        node.close();
        endpoints.forEach(RawEndpointStandIn::close);
        store.close();
    }

    /** The process ran out of memory, and all requests that it had passed on got no response. */
    @Test
    void bodiesThatSlowEndpointsDoNotReadAreRefusedBeforeTheHeapIsFull() throws Exception {
        startNode(ENDPOINTS);
        List<Future<Outcome>> held = new ArrayList<>();
        for (int i = 0; i < LARGE + MEDIUM; i++) {
            int bytes = i < LARGE ? LARGE_BYTES : MEDIUM_BYTES;
            held.add(send(HELD + i, bytes));
        }
        assertSmallRequestsAreServed();
        goOn.countDown();
        List<Outcome> outcomes = outcomes(held);
        assertNoOutOfMemoryError();
        assertThat(outcomes).allMatch(o -> o.hasStatus(200) || o.hasStatus(503) && o.response.contains("etry-"));
        assertThat(outcomes).filteredOn(o -> o.hasStatus(503)).isNotEmpty().noneMatch(o -> sent.contains(o.id));
        assertThat(outcomes).filteredOn(o -> o.hasStatus(200)).isNotEmpty();
        assertThat(send("later", LARGE_BYTES).get().response).startsWith("HTTP/1.1 200");
    }

    /** The same through responses that stop within an event, each below the bound of an event. */
    @ParameterizedTest
    @ValueSource(ints = {1, ENDPOINTS})
    void streamsWithinAnEventAreBrokenOffBeforeTheHeapIsFull(int endpointCount) throws Exception {
        startNode(endpointCount);
        List<Future<Outcome>> streams = new ArrayList<>();
        for (int i = 0; i < STREAMS; i++) {
            streams.add(send(STREAM + i, SMALL_BYTES));
        }
        assertSmallRequestsAreServed();
        List<Outcome> outcomes = outcomes(streams);
        assertNoOutOfMemoryError();
        assertThat(outcomes).allMatch(o -> o.hasStatus(200) && o.response.contains(EVENT.strip()));
        assertThat(send("later", LARGE_BYTES).get().response).startsWith("HTTP/1.1 200");
    }

    private void assertSmallRequestsAreServed() throws Exception {
        for (int i = 0; i < SMALL_REQUESTS; i++) {
            assertThat(send("small-" + i, SMALL_BYTES).get().response)
                    .as("small request " + i)
                    .startsWith("HTTP/1.1 200");
            TimeUnit.MILLISECONDS.sleep(20);
        }
    }

    private void assertNoOutOfMemoryError() throws IOException {
        String log = Files.readString(directory.resolve(node.settings().nodeName() + ".log"));
        assertThat(log.lines().filter(l -> l.contains("OutOfMemoryError") || l.contains("OutOfDirectMemoryError")))
                .isEmpty();
    }

    private static List<Outcome> outcomes(List<Future<Outcome>> futures) throws Exception {
        List<Outcome> outcomes = new ArrayList<>();
        for (Future<Outcome> f : futures) {
            outcomes.add(f.get());
        }
        return outcomes;
    }

    private Future<Outcome> send(String id, int bodyBytes) {
        return callers.submit(() -> {
            String address = node.settings().callerAddress();
            int colon = address.indexOf(':');
            try (Socket s = new Socket(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)))) {
                s.setSoTimeout(READ_TIMEOUT_MS);
                s.getOutputStream().write(CallerClient.requestWithBody("/once/x", id, bodyBytes));
                byte[] response = s.getInputStream().readAllBytes();
                String text = new String(response, StandardCharsets.ISO_8859_1);
                return new Outcome(id, text.length() > 300 ? text.substring(0, 300) : text);
            } catch (IOException e) {
                return new Outcome(id, CLOSED);
            }
        });
    }

    private void beforeBody(String head) {
        String id = RawEndpointStandIn.header(head, CallerClient.ID_HEADER);
        sent.add(id);
        if (id.startsWith(HELD)) {
            awaitGoOn();
        }
    }

    private Reply respond(String request) {
        if (RawEndpointStandIn.header(request, CallerClient.ID_HEADER).startsWith(STREAM)) {
            return new Reply(
                    RawEndpointStandIn.streamHead(request, "text/event-stream") + "\r\n" + EVENT + PARTIAL_EVENT,
                    End.KEEP);
        }
        return new Reply(
                RawEndpointStandIn.head(request, 200, "signed", "text/plain") + "Content-Length: 2\r\n\r\nok",
                End.KEEP);
    }

    private void awaitGoOn() {
        try {
            goOn.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
