package org.quetzalvane.entry;

import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.extension.RegisterExtension;
import org.quetzalvane.platform.BootSettings;
import org.quetzalvane.platform.standin.CallerClient;
import org.quetzalvane.platform.standin.EndpointStandIn;
import org.quetzalvane.platform.standin.PlatformStoreStandIn;
import org.quetzalvane.platform.standin.SampleConfig;
import org.quetzalvane.transport.ServerExchange;

import static org.assertj.core.api.Assertions.assertThat;

/** A store that comes back from a copy and gives its offsets and generations out again, over loopback. */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class StoreRestoreTest {
    private static final int MAX_TRIES = 250;

    @RegisterExtension
    final LoopbackCluster cluster = new LoopbackCluster();

    private final PlatformStoreStandIn store = cluster.store();
    private BootSettings settings;

    @BeforeEach
    void configure() {
        store.writeConfig(SampleConfig.withVersion(1));
    }

    /** The record of version 3 gets the offset that version 2 had. */
    @Test
    void configurationNeverMovesBackAndTheNextOneIsAppliedAtAReusedOffset() throws Exception {
        endpoint("plain-1", "plain", (self, x) -> self.respondComplete(x, "ok"));
        start();
        store.takeCopy();
        store.writeConfig(SampleConfig.withRoute(2, "/second/"));
        awaitStatus("/second/x", 200);
        store.restoreCopy();
        TimeUnit.MILLISECONDS.sleep(300);
        assertThat(get("/second/x", "after-restore")).startsWith("HTTP/1.1 200");
        store.writeConfig(SampleConfig.withRoute(3, "/third/"));
        awaitStatus("/third/x", 200);
        awaitStatus("/second/x", 404);
    }

    @Test
    void endpointWhoseEntryWasLostStaysInUseUntilItIsWrittenAgain() throws Exception {
        endpoint("plain-1", "plain", EndpointStandIn::refuse);
        start();
        store.takeCopy();
        EndpointStandIn added = endpoint("plain-2", "plain", (self, x) -> self.respondComplete(x, "ok"));
        awaitStatus("/again/x", 200);
        store.restoreCopy();
        for (int i = 0; i < 10; i++) {
            TimeUnit.MILLISECONDS.sleep(100);
            assertThat(get("/again/x", "lost-" + i)).startsWith("HTTP/1.1 200");
        }
        store.writeEndpoint("plain-2", added.entry());
        TimeUnit.SECONDS.sleep(3);
        assertThat(get("/again/x", "rewritten")).startsWith("HTTP/1.1 200");
    }

    @Test
    void fencingTokensRiseThoughTheGenerationGoesBack() throws Exception {
        EndpointStandIn e = endpoint("engine-1", "engines", (self, x) -> self.respondWithEvents(x, 1, 2, true));
        start();
        store.takeCopy();
        store.reassignPartitions(50);
        awaitAdapter("m/a5");
        int before = e.orders().size();
        store.restoreCopy();
        for (int i = 0; i < MAX_TRIES && e.orders().size() == before; i++) {
            awaitAdapter("m/a" + (10 + i));
        }
        assertThat(e.orders()).hasSizeGreaterThan(before);
        assertThat(e.tokens()).isSorted();
        assertThat(e.fencedOrders()).isZero();
    }

    private void awaitAdapter(String adapter) throws IOException, InterruptedException {
        String response = "";
        for (int i = 0; i < MAX_TRIES && !response.startsWith("HTTP/1.1 200"); i++) {
            response = CallerClient.send(settings.callerAddress(), "POST", "/events/x", adapter + "-" + i, adapter);
            TimeUnit.MILLISECONDS.sleep(20);
        }
        assertThat(response).startsWith("HTTP/1.1 200");
    }

    private void awaitStatus(String path, int status) throws IOException, InterruptedException {
        String expected = "HTTP/1.1 " + status;
        String response = "";
        for (int i = 0; i < MAX_TRIES && !response.startsWith(expected); i++) {
            response = get(path, path + i);
            TimeUnit.MILLISECONDS.sleep(20);
        }
        assertThat(response).startsWith(expected);
    }

    private String get(String path, String id) throws IOException {
        return CallerClient.send(settings.callerAddress(), "GET", path, id, null);
    }

    private EndpointStandIn endpoint(String id, String service, BiConsumer<EndpointStandIn, ServerExchange> behaviour) {
        EndpointStandIn e = cluster.add(new EndpointStandIn(id, service, behaviour));
        store.writeEndpoint(id, e.entry());
        return e;
    }

    private void start() throws Exception {
        settings = cluster.startNodeWithRetries();
    }
}
