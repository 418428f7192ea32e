package org.quetzalvane.entry;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.extension.RegisterExtension;
import org.quetzalvane.platform.BootSettings;
import org.quetzalvane.platform.standin.CallerClient;
import org.quetzalvane.platform.standin.EndpointStandIn;
import org.quetzalvane.platform.standin.PlatformStoreStandIn;
import org.quetzalvane.platform.standin.SampleConfig;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Engines that the platform's list names although nobody reaches them, over loopback.
 *
 * <p>Guards against refusals of each request for an adapter whose load is asked of such an engine.
 */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class UnreachableEngineNodeTest {
    private static final int ENGINES = 5;
    private static final int ENDED = 2;
    private static final int ADAPTERS = 12;

    @RegisterExtension
    final LoopbackCluster cluster = new LoopbackCluster();

    private final PlatformStoreStandIn store = cluster.store();
    private final List<EndpointStandIn> engines = new ArrayList<>();
    private BootSettings first;
    private BootSettings second;

    @BeforeEach
    void start() throws Exception {
        store.writeConfig(SampleConfig.withVersion(1));
        for (int n = 1; n <= ENGINES; n++) {
            EndpointStandIn e = cluster.add(new EndpointStandIn(
                    "engine-" + n, "engines", (engine, x) -> engine.respondWithEvents(x, 1, 3, true)));
            engines.add(e);
            store.writeEndpoint(e.id(), e.entry());
        }
        first = cluster.startNodeWithRetries();
        second = cluster.startNodeWithRetries();
        cluster.awaitNodesKnowEachOther();
    }

    /** Asks each node in turn for each of many adapters, most of which must be loaded; returns the refusals. */
    private List<String> refusedAdapters(String round) throws IOException {
        List<String> refused = new ArrayList<>();
        for (int n = 1; n <= ADAPTERS; n++) {
            BootSettings node = n % 2 == 0 ? first : second;
            String id = round + "-" + n;
            String response = CallerClient.send(node.callerAddress(), "POST", "/events/x", id, "m/c" + n);
            if (!response.startsWith("HTTP/1.1 200")) {
                refused.add("c" + n + ": " + response);
            }
        }
        return refused;
    }

    @Test
    void adaptersAreLoadedOnEnginesInReach() throws Exception {
        refusedAdapters("before");
        for (int n = 0; n < ENDED; n++) {
            engines.get(n).close();
        }
        refusedAdapters("detecting");
        assertThat(refusedAdapters("first")).isEmpty();
        TimeUnit.SECONDS.sleep(2);
        assertThat(refusedAdapters("second")).isEmpty();
    }
}
