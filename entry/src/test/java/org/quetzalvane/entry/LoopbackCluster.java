package org.quetzalvane.entry;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

import org.junit.jupiter.api.extension.AfterEachCallback;
import org.junit.jupiter.api.extension.ExtensionContext;
import org.quetzalvane.platform.BootSettings;
import org.quetzalvane.platform.standin.CallerClient;
import org.quetzalvane.platform.standin.PlatformStoreStandIn;

/**
 * The store, endpoints and nodes of one test, over loopback. After the test it closes the endpoints, then the store,
 * then the nodes. Confined to the thread of the test.
 */
final class LoopbackCluster implements AfterEachCallback {
    private static final long POLL_MS = 20;
    private static final int RETRIES = 10_000;

    private final PlatformStoreStandIn store = new PlatformStoreStandIn();
    private final List<AutoCloseable> endpoints = new ArrayList<>();
    private final List<EntryNode> nodes = new ArrayList<>();
    private final List<BootSettings> settings = new ArrayList<>();

    PlatformStoreStandIn store() {
        return store;
    }

    /** Closes an endpoint after the test; returns it. */
    <T extends AutoCloseable> T add(T endpoint) {
        endpoints.add(endpoint);
        return endpoint;
    }

    /** Starts a node, which knows all earlier ones, and waits until it is ready. */
    BootSettings startNode() throws IOException, InterruptedException {
        return startNode(TestSettings.of(nextName(), peers(), store.address()));
    }

    /** The same with a retry budget of which the small part that a process may use at first suffices for a test. */
    BootSettings startNodeWithRetries() throws IOException, InterruptedException {
        return startNode(TestSettings.withRetryBudget(nextName(), peers(), store.address(), 0.2, RETRIES));
    }

    private String nextName() {
        return "n" + (nodes.size() + 1);
    }

    private Set<String> peers() {
        return settings.stream().map(BootSettings::peerAddress).collect(Collectors.toSet());
    }

    /** Starts a node and waits until it is ready; returns the settings. */
    BootSettings startNode(BootSettings s) throws IOException, InterruptedException {
        EntryNode node = new EntryNode(s);
        nodes.add(node);
        settings.add(s);
        node.start();
        while (!CallerClient.readiness(s.readinessAddress()).startsWith("HTTP/1.1 200")) {
            TimeUnit.MILLISECONDS.sleep(POLL_MS);
        }
        return s;
    }

    /** Waits until each node lists all nodes as ready. */
    void awaitNodesKnowEachOther() throws IOException, InterruptedException {
        for (BootSettings s : settings) {
            while (CallerClient.directory(s.directoryAddress()).split("127\\.0\\.0\\.1", -1).length <= nodes.size()) {
                TimeUnit.MILLISECONDS.sleep(POLL_MS);
            }
        }
    }

    /** The node that was started as the given one, from 0. */
    EntryNode node(int index) {
        return nodes.get(index);
    }

    /** Closes all nodes at once; nodes that are started later know none of them. */
    void closeNodes() {
        nodes.forEach(EntryNode::close);
        nodes.clear();
        settings.clear();
    }

    @Override
    public void afterEach(ExtensionContext context) throws Exception {
        for (AutoCloseable e : endpoints) {
            e.close();
        }
        store.close();
        nodes.forEach(EntryNode::close);
    }
}
