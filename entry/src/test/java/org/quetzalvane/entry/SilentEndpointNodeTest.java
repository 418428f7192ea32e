package org.quetzalvane.entry;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.extension.RegisterExtension;
import org.quetzalvane.platform.BootSettings;
import org.quetzalvane.platform.standin.CallerClient;
import org.quetzalvane.platform.standin.EndpointStandIn;
import org.quetzalvane.platform.standin.SampleConfig;
import org.quetzalvane.transport.ServerExchange;

import static org.assertj.core.api.Assertions.assertThat;

/** Sound endpoints that fall silent within a response that cannot go on elsewhere, over loopback. */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class SilentEndpointNodeTest {
    /** Longest silence, ms; an endpoint goes on earlier if the node has closed the connection. */
    private static final long SILENCE_MS = 2_500;
    /** More than a node keeps of a response before it passes it on. */
    private static final int LARGE_BYTES = 80_000;

    private static final int MAX_TRIES = 20;
    private static final String LAST_CHUNK = "0\r\n\r\n";
    private static final String REFUSED = "refused";

    @RegisterExtension
    final LoopbackCluster cluster = new LoopbackCluster();

    private final List<EndpointStandIn> engines = new ArrayList<>();
    private final List<EndpointStandIn> services = new ArrayList<>();
    private final CompletableFuture<Void> goOn = new CompletableFuture<>();
    private final CountDownLatch silent = new CountDownLatch(1);
    private final CountDownLatch closedByNode = new CountDownLatch(1);

    @BeforeEach
    void startEndpoints() {
        cluster.store().writeConfig(SampleConfig.withVersion(1));
        for (int i = 1; i <= 2; i++) {
            engines.add(endpoint("engine-" + i, "engines", this::stream));
            services.add(endpoint("plain-" + i, "plain", this::respond));
        }
    }

    @Test
    void largeResponseOfSilentEndpointArrivesWhole() throws Exception {
        BootSettings node = cluster.startNode();
        String response = sendAndEndSilence(node, "GET", "/again/x", null);
        assertThat(response.chars().filter(c -> c == '<').count()).isEqualTo(LARGE_BYTES);
        assertThat(response.chars().filter(c -> c == '>').count()).isEqualTo(LARGE_BYTES);
        assertThat(ranRequests(services)).containsExactly("id");
    }

    @Test
    void streamOfSilentEngineArrivesWholeThoughTheRetryBudgetIsSpent() throws Exception {
        BootSettings node = cluster.startNode(
                TestSettings.withRetryBudget("n1", Set.of(), cluster.store().address(), 0.01, 2));
        spendRetryBudget(node);
        String response = sendAndEndSilence(node, "POST", "/events/x", "m/a1");
        assertThat(response).containsOnlyOnce("data: first\n").containsOnlyOnce("data: second\n");
        assertThat(ranRequests(engines)).containsExactly("id");
    }

    /**
     * Sends a request, lets its endpoint go on when the node has given it up or the longest silence is over, and
     * returns the response.
     */
    private String sendAndEndSilence(BootSettings node, String method, String path, String adapter) throws Exception {
        CompletableFuture<String> response = CompletableFuture.supplyAsync(() -> {
            try {
                return CallerClient.send(node.callerAddress(), method, path, "id", adapter);
            } catch (IOException e) {
                throw new CompletionException(e);
            }
        });
        assertThat(silent.await(SILENCE_MS, TimeUnit.MILLISECONDS)).isTrue();
        boolean closed = closedByNode.await(SILENCE_MS, TimeUnit.MILLISECONDS);
        goOn.complete(null);
        String text = response.get();
        assertThat(text.substring(0, text.indexOf('\r'))).isEqualTo("HTTP/1.1 200 OK");
        assertThat(text.substring(text.length() - LAST_CHUNK.length()))
                .as("end of %s characters; closed by the node: %s", text.length(), closed)
                .isEqualTo(LAST_CHUNK);
        return text;
    }

    /** Sends requests that all engines refuse until one is not tried at a second engine. */
    private void spendRetryBudget(BootSettings node) throws IOException {
        int sends = 0;
        for (int i = 0; i < MAX_TRIES && sends != 1; i++) {
            int before = refusals();
            CallerClient.send(node.callerAddress(), "POST", "/events/x", REFUSED + i, "m/a1");
            sends = refusals() - before;
        }
        assertThat(sends).isEqualTo(1);
    }

    private int refusals() {
        return engines.stream().mapToInt(EndpointStandIn::refusedRequests).sum();
    }

    private static List<String> ranRequests(List<EndpointStandIn> endpoints) {
        return endpoints.stream().flatMap(e -> e.ranRequests().stream()).toList();
    }

    private EndpointStandIn endpoint(String id, String service, BiConsumer<EndpointStandIn, ServerExchange> behaviour) {
        EndpointStandIn e = cluster.add(new EndpointStandIn(id, service, behaviour));
        cluster.store().writeEndpoint(id, e.entry());
        return e;
    }

    private void respond(EndpointStandIn self, ServerExchange x) {
        String before = "<".repeat(LARGE_BYTES);
        String after = ">".repeat(LARGE_BYTES);
        self.respondWithSilence(x, "application/octet-stream", before, after, goOn, closedByNode::countDown);
        silent.countDown();
    }

    private void stream(EndpointStandIn self, ServerExchange x) {
        if (x.head().headers().get(CallerClient.ID_HEADER).startsWith(REFUSED)) {
            self.refuse(x);
            return;
        }
        String before = "id: 1\ndata: first\n\n";
        String after = "id: 2\ndata: second\n\n";
        self.respondWithSilence(x, "text/event-stream", before, after, goOn, closedByNode::countDown);
        silent.countDown();
    }
}
