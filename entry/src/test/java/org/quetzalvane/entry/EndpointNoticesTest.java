package org.quetzalvane.entry;

import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.extension.RegisterExtension;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.quetzalvane.platform.BootSettings;
import org.quetzalvane.platform.standin.CallerClient;
import org.quetzalvane.platform.standin.EndpointStandIn;
import org.quetzalvane.platform.standin.PlatformStoreStandIn;
import org.quetzalvane.platform.standin.SampleConfig;
import org.quetzalvane.transport.ServerExchange;

import static org.assertj.core.api.Assertions.assertThat;

/** Endpoints that say in their answers that they leave or want to be left alone, over loopback with two nodes. */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class EndpointNoticesTest {
    private static final int REQUESTS = 20;
    private static final int MAX_TRIES = 250;

    @RegisterExtension
    final LoopbackCluster cluster = new LoopbackCluster();

    private final PlatformStoreStandIn store = cluster.store();
    private BootSettings first;
    private BootSettings second;
    private final String metricsAddress = TestPorts.freeAddress();

    @Test
    void leavingEndpointReceivesNothingNewFromAnyNode() throws Exception {
        EndpointStandIn leaving = endpoint(
                "plain-1", "plain", (self, x) -> self.respondComplete(x, "ok", EndpointStandIn.LEAVING_HEADER, "1"));
        EndpointStandIn other = endpoint("plain-2", "plain", (self, x) -> self.respondComplete(x, "ok"));
        startNodes();
        for (int i = 0; i < MAX_TRIES && leaving.ranRequests().isEmpty(); i++) {
            send(first, "first-" + i);
        }
        int ran = leaving.ranRequests().size();
        int ranByOther = other.ranRequests().size();
        for (int i = 0; i < MAX_TRIES && !secondNodeKnowsLeaving(); i++) {
            TimeUnit.MILLISECONDS.sleep(20);
        }
        for (int i = 0; i < REQUESTS; i++) {
            assertThat(send(first, "a-" + i)).startsWith("HTTP/1.1 200");
            assertThat(send(second, "b-" + i)).startsWith("HTTP/1.1 200");
        }
        assertThat(leaving.ranRequests()).hasSize(ran);
        assertThat(other.ranRequests()).hasSize(ranByOther + 2 * REQUESTS);
    }

    /** The store's entry of the endpoint still says ready when another node starts. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void leavingEndpointReceivesNothingFromANodeThatStartsLater(boolean storeAway) throws Exception {
        EndpointStandIn leaving = endpoint(
                "plain-1", "plain", (self, x) -> self.respondComplete(x, "ok", EndpointStandIn.LEAVING_HEADER, "1"));
        endpoint("plain-2", "plain", (self, x) -> self.respondComplete(x, "ok"));
        startNodes();
        for (int i = 0; i < MAX_TRIES && leaving.ranRequests().isEmpty(); i++) {
            send(first, "first-" + i);
        }
        int ran = leaving.ranRequests().size();
        store.down(storeAway);
        BootSettings third = cluster.startNode();
        cluster.awaitNodesKnowEachOther();
        for (int i = 0; i < REQUESTS; i++) {
            assertThat(send(third, "c-" + i)).startsWith("HTTP/1.1 200");
        }
        assertThat(leaving.ranRequests()).hasSize(ran);
    }

    /** Bad values change nothing: the endpoint is used again and again. */
    @ParameterizedTest
    @CsvSource({"Retry-After, 30, 1", "Retry-After, soon, 2", EndpointStandIn.LEAVING_HEADER + ", yes, 2"})
    void refusingEndpointReceivesAtMostOneRequestWhileItAskedToWait(String header, String value, int atLeast)
            throws Exception {
        EndpointStandIn refusing = endpoint("plain-1", "plain", (self, x) -> self.refuse(x, header, value));
        endpoint("plain-2", "plain", (self, x) -> self.respondComplete(x, "ok"));
        startNodes();
        for (int i = 0; i < REQUESTS; i++) {
            assertThat(send(first, "id-" + i)).startsWith("HTTP/1.1 200");
        }
        if (atLeast == 1) {
            assertThat(refusing.refusedRequests()).isEqualTo(1);
        } else {
            assertThat(refusing.refusedRequests()).isGreaterThanOrEqualTo(atLeast);
        }
    }

    /** Values that cannot be read change nothing; the limit that was named before stays in force. */
    @ParameterizedTest
    @CsvSource({"nought, 20, 20", "-1, 20, 20", "0.1, 0, 2"})
    void endpointReceivesWhatItsLastReadableLimitAllows(String value, int atLeast, int atMost) throws Exception {
        EndpointStandIn limited = endpoint("plain-1", "plain", (self, x) -> {
            self.nameLimit(self.ranRequests().isEmpty() || !value.equals("0.1") ? value : "many");
            self.respondComplete(x, "ok");
        });
        startNodes();
        for (int i = 0; i < REQUESTS; i++) {
            send(first, "id-" + i);
        }
        assertThat(limited.ranRequests()).hasSizeBetween(atLeast, atMost);
    }

    @Test
    void callersAreRefusedAtOnceWithTheEarliestWaitOfAllEndpoints() throws Exception {
        EndpointStandIn one = endpoint("plain-1", "plain", (self, x) -> self.refuse(x, "Retry-After", "30"));
        EndpointStandIn two = endpoint("plain-2", "plain", (self, x) -> self.refuse(x, "Retry-After", "20"));
        startNodes();
        long start = System.nanoTime();
        send(first, "id-first");
        for (int i = 0; i < REQUESTS; i++) {
            String response = send(first, "id-" + i);
            double elapsedS = (System.nanoTime() - start) / 1e9;
            assertThat(response).startsWith("HTTP/1.1 503");
            // Not before the shorter wait ends, and spread over a quarter of it.
            assertThat(retryAfterS(response)).isBetween(20 - elapsedS, 25.0);
        }
        assertThat(one.refusedRequests()).isEqualTo(1);
        assertThat(two.refusedRequests()).isEqualTo(1);
    }

    private static double retryAfterS(String response) {
        Matcher m = Pattern.compile("(?i)retry-after: ([0-9.]+)").matcher(response);
        assertThat(m.find()).as(response).isTrue();
        return Double.parseDouble(m.group(1));
    }

    /** Whether the second node has heard of the leaving endpoint: its third change after the two that appeared. */
    private boolean secondNodeKnowsLeaving() throws Exception {
        String metrics =
                CallerClient.sendRaw(metricsAddress, "GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        return metrics.contains("event=\"endpoint_changed\"} 3");
    }

    private static String send(BootSettings node, String id) throws Exception {
        return CallerClient.send(node.callerAddress(), "GET", "/again/x", id, null);
    }

    private EndpointStandIn endpoint(String id, String service, BiConsumer<EndpointStandIn, ServerExchange> behaviour) {
        EndpointStandIn e = cluster.add(new EndpointStandIn(id, service, behaviour));
        store.writeEndpoint(id, e.entry());
        return e;
    }

    private void startNodes() throws Exception {
        store.writeConfig(SampleConfig.withVersion(1));
        first = cluster.startNodeWithRetries();
        second = cluster.startNodeWithRetries();
        cluster.node(1).listenMetrics(Integer.parseInt(metricsAddress.substring(metricsAddress.indexOf(':') + 1)));
        cluster.awaitNodesKnowEachOther();
    }
}
