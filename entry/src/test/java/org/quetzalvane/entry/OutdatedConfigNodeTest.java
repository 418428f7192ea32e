package org.quetzalvane.entry;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.extension.RegisterExtension;
import org.quetzalvane.platform.BootSettings;
import org.quetzalvane.platform.standin.CallerClient;
import org.quetzalvane.platform.standin.EndpointStandIn;
import org.quetzalvane.platform.standin.SampleConfig;

import static org.assertj.core.api.Assertions.assertThat;

/** A node that cannot follow the store while routes are added. */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class OutdatedConfigNodeTest {
    private static final String NO_ROUTE = "HTTP/1.1 404";
    private static final String NOT_READY = "HTTP/1.1 503";

    private final AtomicInteger calls = new AtomicInteger();

    @RegisterExtension
    final LoopbackCluster cluster = new LoopbackCluster();

    /** Routes that had been added were refused with 404 by a node that was cut off from the store. */
    @Test
    void addedRouteIsNotRefusedForGoodByANodeThatIsCutOff() throws Exception {
        cluster.store().writeConfig(SampleConfig.withVersion(1));
        EndpointStandIn plain =
                cluster.add(new EndpointStandIn("plain-1", "plain", (self, x) -> self.respondComplete(x, "ok")));
        cluster.store().writeEndpoint("plain-1", plain.entry());
        BootSettings node = cluster.startNode();
        awaitStatus(node, "/added/x", NO_ROUTE);
        cluster.store().down(true);
        // A read that waits at the store is answered all the same.
        TimeUnit.MILLISECONDS.sleep(PlatformState.CONFIG_WAIT_MS + 500);
        cluster.store().writeConfig(SampleConfig.withRoute(2, "/added/"));
        TimeUnit.MILLISECONDS.sleep(BootSettings.DEFAULT_CONFIG_APPLY_MS);
        assertThat(call(node, "/added/x")).startsWith(NOT_READY).containsIgnoringCase("retry-after");
        assertThat(call(node, "/again/x")).startsWith("HTTP/1.1 200");
        cluster.store().down(false);
        awaitStatus(node, "/added/x", "HTTP/1.1 200");
        awaitStatus(node, "/missing/x", NO_ROUTE);
    }

    private void awaitStatus(BootSettings node, String path, String status) throws Exception {
        while (!call(node, path).startsWith(status)) {
            TimeUnit.MILLISECONDS.sleep(50);
        }
    }

    private String call(BootSettings node, String path) throws Exception {
        return CallerClient.send(node.callerAddress(), "GET", path, "id-" + calls.incrementAndGet(), null);
    }
}
