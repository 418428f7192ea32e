package org.quetzalvane.entry;

import java.io.IOException;
import java.net.ConnectException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.quetzalvane.platform.BootSettings;
import org.quetzalvane.platform.standin.CallerClient;
import org.quetzalvane.platform.standin.EndpointStandIn;
import org.quetzalvane.platform.standin.PlatformStoreStandIn;
import org.quetzalvane.platform.standin.SampleConfig;
import org.quetzalvane.transport.ServerExchange;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/** Runs nodes over loopback against stand-ins of the platform's store and endpoints. */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class EntryNodeTest {
    private static final long POLL_MS = 20;

    private final PlatformStoreStandIn store = new PlatformStoreStandIn();
    private final List<EndpointStandIn> endpoints = new ArrayList<>();
    private BootSettings settings;
    private EntryNode node;
    private EntryNode secondNode;

    @BeforeEach
    void configure() throws IOException {
        store.writeConfig(SampleConfig.withVersion(1));
        settings = TestSettings.of("n1", Set.of(), store.address());
    }

    @AfterEach
    void close() {
        endpoints.forEach(EndpointStandIn::close);
        store.close();
        if (node != null) {
            node.close();
        }
        if (secondNode != null) {
            secondNode.close();
        }
    }

    @Test
    void serviceResponseIsForwardedWithItsSignature() throws Exception {
        EndpointStandIn e = endpoint("plain-1", "plain", (self, x) -> self.respondComplete(x, "bulletin"));
        start();
        String response = CallerClient.send(settings.callerAddress(), "POST", "/once/x", "id-1", null);
        assertThat(response).startsWith("HTTP/1.1 200").containsIgnoringCase("x-response-signature: signed");
        assertThat(response).endsWith("bulletin");
        assertThat(e.ranRequests()).containsExactly("id-1");
    }

    @Test
    void refusedRequestRunsOnceOnAnotherEndpoint() throws Exception {
        endpoint("plain-1", "plain", EndpointStandIn::refuse);
        EndpointStandIn other = endpoint("plain-2", "plain", (self, x) -> self.respondComplete(x, "ok"));
        start();
        for (int i = 0; i < 4; i++) {
            CallerClient.send(settings.callerAddress(), "GET", "/again/x", "id-" + i, null);
        }
        assertThat(other.ranRequests()).doesNotHaveDuplicates().isNotEmpty();
    }

    @Test
    void truncatedResponseOfNonIdempotentRequestIsNeverReportedAsNotRun() throws Exception {
        EndpointStandIn e = endpoint("plain-1", "plain", (self, x) -> {
            self.respondWithEvents(x, 1, 0, false);
        });
        endpoint("plain-2", "plain", (self, x) -> self.respondWithEvents(x, 1, 0, false));
        start();
        String response = CallerClient.send(settings.callerAddress(), "POST", "/once/x", "id-1", null);
        assertThat(response).doesNotStartWith("HTTP/1.1 503").doesNotStartWith("HTTP/1.1 429");
        assertThat(e.ranRequests().size() + endpoints.get(1).ranRequests().size())
                .isEqualTo(1);
    }

    @Test
    void brokenStreamResumesOnAnotherEngineWithEachEventOnce() throws Exception {
        for (int n = 1; n <= 2; n++) {
            endpoint("engine-" + n, "engines", (self, x) -> {
                int last = EndpointStandIn.lastEventId(x);
                if (last == 0) {
                    self.respondWithEvents(x, 1, 3, false);
                } else {
                    self.respondWithEvents(x, last + 1, 6, true);
                }
            });
        }
        start();
        String response = CallerClient.send(settings.callerAddress(), "POST", "/events/x", "id-1", "m/a1");
        assertThat(response).startsWith("HTTP/1.1 200").doesNotContain("half an");
        for (int i = 1; i <= 6; i++) {
            assertThat(response.split("data: event " + i + "\n", -1))
                    .as("event %s", i)
                    .hasSize(2);
        }
        assertThat(response).endsWith("0\r\n\r\n");
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "POST /once/x HTTP/1.1\r\nHost: h.example\r\n" + CallerClient.ID_HEADER + ": a\r\nContent-Length: 4\r\n"
                        + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nPOST /once/hidden HTTP/1.1\r\n\r\n",
                "POST /once/x HTTP/1.1\r\nHost: h.example\r\n" + CallerClient.ID_HEADER + ": a\r\nContent-Length: 4\r\n"
                        + "Content-Length: 40\r\n\r\nabcd",
                "POST /once/x HTTP/1.1\r\nHost: h.example\r\nHost: other\r\n" + CallerClient.ID_HEADER + ": a\r\n\r\n",
                "POST /once/x HTTP/1.1\nHost: h.example\n" + CallerClient.ID_HEADER + ": a\nContent-Length: 0\n\n",
            })
    void ambiguousRequestIsRejectedAndNotRun(String bytes) throws Exception {
        EndpointStandIn e = endpoint("plain-1", "plain", (self, x) -> self.respondComplete(x, "no"));
        start();
        assertThat(CallerClient.sendRaw(settings.callerAddress(), bytes)).startsWith("HTTP/1.1 400");
        assertThat(e.ranRequests()).isEmpty();
    }

    @Test
    void unknownPathReturnsNotFound() throws Exception {
        endpoint("plain-1", "plain", (self, x) -> self.respondComplete(x, "no"));
        start();
        assertThat(CallerClient.send(settings.callerAddress(), "GET", "/nowhere/", "id-1", null))
                .startsWith("HTTP/1.1 404");
    }

    @Test
    void nodeWithoutConfigurationRefusesRequestsAndIsNotReady() throws Exception {
        store.down(true);
        node = new EntryNode(settings);
        node.start();
        assertThat(CallerClient.send(settings.callerAddress(), "GET", "/again/x", "id-1", null))
                .startsWith("HTTP/1.1 503")
                .containsIgnoringCase("retry-after");
        assertThat(readiness()).startsWith("HTTP/1.1 503");
        assertThat(directory()).startsWith("HTTP/1.1 503");
    }

    @Test
    void readyNodeListsItselfInDirectory() throws Exception {
        endpoint("plain-1", "plain", (self, x) -> self.respondComplete(x, "no"));
        start();
        assertThat(directory()).contains(settings.callerAddress());
    }

    @Test
    void nodeStartedDuringStoreOutageGetsRecordsFromPeer() throws Exception {
        EndpointStandIn e = endpoint("plain-1", "plain", (self, x) -> self.respondComplete(x, "ok"));
        start();
        store.down(true);
        BootSettings secondSettings = TestSettings.of("n2", Set.of(settings.peerAddress()), store.address());
        secondNode = new EntryNode(secondSettings);
        secondNode.start();
        while (!CallerClient.readiness(secondSettings.readinessAddress()).startsWith("HTTP/1.1 200")) {
            TimeUnit.MILLISECONDS.sleep(POLL_MS);
        }
        assertThat(CallerClient.send(secondSettings.callerAddress(), "POST", "/once/x", "id-1", null))
                .startsWith("HTTP/1.1 200");
        assertThat(e.ranRequests()).containsExactly("id-1");
        while (!CallerClient.directory(secondSettings.directoryAddress()).contains(settings.callerAddress())) {
            TimeUnit.MILLISECONDS.sleep(POLL_MS);
        }
    }

    /** Failure of the store while the configuration changes. */
    private enum StoreFailure {
        OUTAGE_WITH_EXPIRED_HISTORY,
        LOST_RESPONSES,
        OUTAGE
    }

    @ParameterizedTest
    @EnumSource(StoreFailure.class)
    void configurationWrittenDuringStoreFailureTakesEffect(StoreFailure failure) throws Exception {
        endpoint("plain-1", "plain", (self, x) -> self.respondComplete(x, "ok"));
        start();
        store.dropResponses(failure == StoreFailure.LOST_RESPONSES);
        store.down(failure != StoreFailure.LOST_RESPONSES);
        store.writeConfig(SampleConfig.withRoute(2, "/late/"));
        if (failure == StoreFailure.OUTAGE_WITH_EXPIRED_HISTORY) {
            store.expire();
        }
        assertThat(CallerClient.send(settings.callerAddress(), "GET", "/again/x", "id-1", null))
                .startsWith("HTTP/1.1 200");
        store.dropResponses(false);
        store.down(false);
        String response = "";
        for (int i = 0; !response.startsWith("HTTP/1.1 200"); i++) {
            response = CallerClient.send(settings.callerAddress(), "GET", "/late/x", "late-" + i, null);
        }
    }

    @Test
    void requestForReplacedInstanceRunsOnlyOnExpectedInstance() throws Exception {
        EndpointStandIn replacement = endpoint("plain-2", "plain", (self, x) -> self.respondComplete(x, "ok"));
        // The outdated entry of plain-1 names the address at which plain-2 listens now.
        store.writeEndpoint("plain-1", replacement.entry());
        start();
        // In its first window, 10 s, a process has fewer retries than this test needs.
        Thread.sleep(10_500);
        for (int i = 0; i < 20; i++) {
            assertThat(CallerClient.send(settings.callerAddress(), "POST", "/once/x", "id-" + i, null))
                    .startsWith("HTTP/1.1 200");
        }
        assertThat(replacement.misdirectedRequests()).isPositive();
        assertThat(replacement.ranRequests()).hasSize(20).doesNotHaveDuplicates();
    }

    @Test
    void ordersAfterReassignmentCarryNewGeneration() throws Exception {
        EndpointStandIn e = endpoint("engine-1", "engines", (self, x) -> self.respondWithEvents(x, 1, 2, true));
        start();
        requestUntilServed("m/a7");
        store.reassignPartitions(5);
        while (e.tokens().get(e.tokens().size() - 1) < 5) {
            // The adapter is a new one in each round, so that an order is sent for it.
            requestUntilServed("m/a" + (8 + e.orders().size()));
        }
        assertThat(e.tokens()).isSorted();
        assertThat(e.fencedOrders()).isZero();
    }

    @Test
    void ownerWithOutdatedTokenSendsNoOrdersUntilReassigned() throws Exception {
        EndpointStandIn e = endpoint("engine-1", "engines", (self, x) -> self.respondWithEvents(x, 1, 2, true));
        start();
        e.raiseToken(1_000);
        for (int i = 0; i < 4; i++) {
            assertThat(CallerClient.send(settings.callerAddress(), "POST", "/events/x", "fenced-" + i, "m/a7"))
                    .startsWith("HTTP/1.1 503")
                    .containsIgnoringCase("retry-after");
        }
        assertThat(e.orders()).isEmpty();
        assertThat(e.fencedOrders()).isBetween(1, 2);
        store.reassignPartitions(2_000);
        requestUntilServed("m/a7");
        assertThat(e.tokens()).isNotEmpty().allMatch(t -> t >= 1_000);
    }

    @Test
    void adapterThatIsNotResidentIsLoadedByOwnerOfEngine() throws Exception {
        EndpointStandIn e = endpoint("engine-1", "engines", (self, x) -> self.respondWithEvents(x, 1, 2, true));
        start();
        String response = "";
        for (int i = 0; i < 20 && !response.startsWith("HTTP/1.1 200"); i++) {
            response = CallerClient.send(settings.callerAddress(), "POST", "/events/x", "id-" + i, "m/a7");
        }
        assertThat(response).startsWith("HTTP/1.1 200");
        assertThat(e.orders()).hasSize(1);
        assertThat(e.orders().get(0)).contains("\"a7\"", "\"loading\"");
    }

    /**
     * The node stops accepting requests before the end of the grace period, since a request accepted late could not
     * complete before that end.
     */
    @Test
    void drainingNodeStopsAcceptingRequests() throws Exception {
        EndpointStandIn e = endpoint("plain-1", "plain", (self, x) -> {
            if (x.head().uri().endsWith("slow")) {
                return;
            }
            self.respondComplete(x, "ok");
        });
        start();
        Thread slow = new Thread(() -> {
            try {
                CallerClient.send(settings.callerAddress(), "POST", "/once/slow", "id-slow", null);
            } catch (IOException ex) {
                // The endpoint never responds to this request.
                Thread.currentThread().interrupt();
            }
        });
        slow.start();
        Thread stop = new Thread(() -> {
            try {
                node.stop();
            } catch (InterruptedException ex) {
                Thread.currentThread().interrupt();
            }
        });
        stop.start();
        node.awaitNotAccepting();
        assertThatThrownBy(() -> CallerClient.send(settings.callerAddress(), "POST", "/once/x", "id-late", null))
                .isInstanceOf(ConnectException.class);
        assertThat(e.ranRequests()).doesNotContain("id-late");
        stop.join();
    }

    private void requestUntilServed(String adapter) throws IOException {
        String response = "";
        for (int i = 0; !response.startsWith("HTTP/1.1 200"); i++) {
            response = CallerClient.send(settings.callerAddress(), "POST", "/events/x", adapter + "-" + i, adapter);
        }
    }

    private EndpointStandIn endpoint(String id, String service, BiConsumer<EndpointStandIn, ServerExchange> behaviour) {
        EndpointStandIn e = new EndpointStandIn(id, service, behaviour);
        endpoints.add(e);
        store.writeEndpoint(id, e.entry());
        return e;
    }

    private void start() throws Exception {
        node = new EntryNode(settings);
        node.start();
        while (!readiness().startsWith("HTTP/1.1 200")) {
            TimeUnit.MILLISECONDS.sleep(POLL_MS);
        }
    }

    private String readiness() throws IOException {
        return CallerClient.readiness(settings.readinessAddress());
    }

    private String directory() throws IOException {
        return CallerClient.directory(settings.directoryAddress());
    }
}
