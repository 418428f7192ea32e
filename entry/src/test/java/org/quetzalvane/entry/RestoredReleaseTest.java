package org.quetzalvane.entry;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.quetzalvane.platform.BootSettings;
import org.quetzalvane.platform.standin.CallerClient;
import org.quetzalvane.platform.standin.EndpointStandIn;
import org.quetzalvane.platform.standin.PlatformStoreStandIn;
import org.quetzalvane.platform.standin.SampleConfig;

import static org.assertj.core.api.Assertions.assertThat;

/** Endpoints that are replaced one after another while the store comes back from a copy, over loopback. */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class RestoredReleaseTest {
    private static final int ENDPOINTS = 4;
    /** Time from the draining of an endpoint to its end, ms: more than that for which it may be a last resort. */
    private static final long DRAIN_MS = 1_200;
    /** Time after a restore within which endpoints write their entries again, ms. */
    private static final long REWRITE_MS = 2_000;

    private final PlatformStoreStandIn store = new PlatformStoreStandIn();
    private final Map<String, EndpointStandIn> endpoints = new HashMap<>();
    private final Map<EndpointStandIn, Integer> ranWhenDrained = new HashMap<>();
    private final List<BootSettings> settings = new ArrayList<>();
    private final List<EntryNode> nodes = new ArrayList<>();
    private final List<String> failures = Collections.synchronizedList(new ArrayList<>());
    private final AtomicBoolean stopped = new AtomicBoolean();
    private final AtomicInteger sent = new AtomicInteger();
    private final List<Thread> callers = new ArrayList<>();

    @BeforeEach
    void start() throws Exception {
        store.writeConfig(SampleConfig.withVersion(1));
        for (int i = 0; i < ENDPOINTS; i++) {
            startEndpoint("old-" + i);
        }
        Set<String> seeds = Set.of();
        for (int i = 0; i < 2; i++) {
            BootSettings s = TestSettings.of("n" + i, seeds, store.address());
            settings.add(s);
            seeds = Set.of(settings.get(0).peerAddress());
            EntryNode node = new EntryNode(s);
            nodes.add(node);
            node.start();
            while (!CallerClient.readiness(s.readinessAddress()).startsWith("HTTP/1.1 200")) {
                TimeUnit.MILLISECONDS.sleep(20);
            }
        }
    }

    @AfterEach
    void close() throws Exception {
        stopped.set(true);
        for (Thread t : callers) {
            t.join();
        }
        nodes.forEach(EntryNode::close);
        endpoints.values().forEach(EndpointStandIn::close);
        store.close();
    }

    /**
     * The copy is taken after a number of replacements, and the store comes back two replacements later, so that the
     * copy lists two endpoints that are gone and lacks two that serve.
     */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2})
    void everyRequestIsServedAndNoneRunsOnAnEndpointThatHasLeft(int replacedBeforeCopy) throws Exception {
        settings.forEach(s -> startCaller(s, "GET", "/again/x"));
        settings.forEach(s -> startCaller(s, "POST", "/once/x"));
        for (int i = 0; i < ENDPOINTS; i++) {
            if (i == replacedBeforeCopy) {
                store.takeCopy();
            }
            replace(i);
            if (i == replacedBeforeCopy + 1) {
                store.restoreCopy();
                TimeUnit.MILLISECONDS.sleep(REWRITE_MS);
                endpoints.forEach((id, e) -> store.writeEndpoint(id, e.entry()));
            }
        }
        TimeUnit.MILLISECONDS.sleep(REWRITE_MS);
        stopped.set(true);
        for (Thread t : callers) {
            t.join();
        }
        assertThat(failures).isEmpty();
        assertThat(sent).hasValueGreaterThan(100);
        assertThat(endpoints.keySet()).allMatch(id -> id.startsWith("new"));
        assertThat(endpoints.values())
                .allSatisfy(e -> assertThat(e.ranRequests()).isNotEmpty());
        ranWhenDrained.forEach(
                (e, ran) -> assertThat(e.ranRequests()).as(e.id()).hasSize(ran));
    }

    /** Starts the replacement of an endpoint, then drains the endpoint and ends it. */
    private void replace(int i) throws InterruptedException {
        startEndpoint("new-" + i);
        EndpointStandIn old = endpoints.remove("old-" + i);
        store.writeEndpoint(old.id(), old.entry("draining"));
        TimeUnit.MILLISECONDS.sleep(DRAIN_MS);
        ranWhenDrained.put(old, old.ranRequests().size());
        store.removeEndpoint(old.id());
        TimeUnit.MILLISECONDS.sleep(200);
        old.close();
    }

    private void startEndpoint(String id) {
        EndpointStandIn e = new EndpointStandIn(id, "plain", (self, x) -> self.respondComplete(x, "ok"));
        endpoints.put(id, e);
        store.writeEndpoint(id, e.entry());
    }

    /** Sends requests to a node, one after another, and records each that is not served. */
    private void startCaller(BootSettings node, String method, String path) {
        Thread t = new Thread(() -> {
            while (!stopped.get()) {
                String id = method + "-" + sent.incrementAndGet();
                try {
                    String response = CallerClient.send(node.callerAddress(), method, path, id, null);
                    if (!response.startsWith("HTTP/1.1 200")) {
                        failures.add(id + ": " + response);
                    }
                    TimeUnit.MILLISECONDS.sleep(10);
                } catch (Exception e) {
                    failures.add(id + ": " + e);
                }
            }
        });
        callers.add(t);
        t.start();
    }
}
