package org.quetzalvane.entry;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.quetzalvane.platform.BootSettings;
import org.quetzalvane.platform.standin.CallerClient;
import org.quetzalvane.platform.standin.EndpointStandIn;
import org.quetzalvane.platform.standin.PlatformStoreStandIn;
import org.quetzalvane.platform.standin.SampleConfig;
import org.quetzalvane.transport.ServerExchange;

import static org.assertj.core.api.Assertions.assertThat;

/** Three nodes in processes of their own, and a store that comes back from a copy, over loopback. */
@Timeout(value = 90, unit = TimeUnit.SECONDS)
class RestoreProcessesTest {
    private static final int MAX_TRIES = 500;
    private static final int VICTIM = 1;

    @TempDir
    private Path directory;

    private final PlatformStoreStandIn store = new PlatformStoreStandIn();
    private final List<EndpointStandIn> endpoints = new ArrayList<>();
    private final List<EntryProcess> nodes = new ArrayList<>();

    /** What happens to a node while the store comes back. */
    private enum Fault {
        NONE,
        CUT_FROM_STORE,
        FROZEN,
        KILLED
    }

    @BeforeEach
    void configure() {
        store.writeConfig(SampleConfig.withVersion(1));
    }

    @AfterEach
    void close() {
        nodes.forEach(EntryProcess::close);
        endpoints.forEach(EndpointStandIn::close);
        store.close();
    }

    /** The third configuration gets the offset that the lost second one had. */
    @ParameterizedTest
    @EnumSource(Fault.class)
    void everyNodeServesTheRestoredConfigurationOnceItIsBack(Fault fault) throws Exception {
        endpoint("plain-1", "plain", (self, x) -> self.respondComplete(x, "ok"));
        startNodes();
        store.takeCopy();
        store.writeConfig(SampleConfig.withRoute(2, "/second/"));
        for (EntryProcess n : nodes) {
            awaitStatus(n, "/second/x", 200);
        }
        begin(fault, nodes.get(VICTIM));
        store.restoreCopy();
        for (EntryProcess n : undisturbed(fault)) {
            assertThat(get(n, "/second/x", "kept")).startsWith("HTTP/1.1 200");
        }
        store.writeConfig(SampleConfig.withRoute(3, "/third/"));
        for (EntryProcess n : undisturbed(fault)) {
            awaitStatus(n, "/third/x", 200);
        }
        end(fault, nodes.get(VICTIM));
        for (EntryProcess n : nodes) {
            awaitStatus(n, "/third/x", 200);
            awaitStatus(n, "/second/x", 404);
        }
    }

    /** The engine is handed over after the copy; the fault happens to its owner of that time. */
    @ParameterizedTest
    @EnumSource(Fault.class)
    void everyFencingTokenHasOneOwnerThoughTheHandoverIsLost(Fault fault) throws Exception {
        EndpointStandIn engine = endpoint("engine-1", "engines", (self, x) -> self.respondWithEvents(x, 1, 2, true));
        startNodes();
        EntryProcess owner = nodes.get(VICTIM);
        awaitOwner(engine, owner, false);
        store.takeCopy();
        awaitOwner(engine, owner, true);
        long lostToken = lastToken(engine);
        begin(fault, owner);
        store.restoreCopy();
        List<EntryProcess> serving = fault == Fault.FROZEN || fault == Fault.KILLED
                ? nodes.stream().filter(n -> n != owner).toList()
                : nodes;
        awaitOrderAfter(engine, lostToken, serving);
        end(fault, owner);
        for (EntryProcess n : nodes) {
            awaitOrderAfter(engine, -1, List.of(n));
        }
        assertThat(engine.tokens()).isSorted();
        assertThat(engine.fencedOrders()).isLessThanOrEqualTo(fault == Fault.NONE ? 0 : 1);
        Map<Long, String> ownerOfToken = new HashMap<>();
        for (int i = 0; i < engine.tokens().size(); i++) {
            String previous =
                    ownerOfToken.put(engine.tokens().get(i), engine.owners().get(i));
            assertThat(previous).isIn(null, engine.owners().get(i));
        }
    }

    /** Reassigns the partitions until a node sends the orders, or until another one does. */
    private void awaitOwner(EndpointStandIn engine, EntryProcess node, boolean owner)
            throws IOException, InterruptedException {
        awaitOrderAfter(engine, 0, nodes);
        for (int i = 0;
                i < MAX_TRIES && lastOwner(engine).equals(node.settings().peerAddress()) != owner;
                i++) {
            store.reassignPartitions(1);
            awaitOrderAfter(engine, lastToken(engine), nodes);
        }
    }

    private void begin(Fault fault, EntryProcess n) throws IOException, InterruptedException {
        switch (fault) {
            case CUT_FROM_STORE -> store.cutSecondAddress(true);
            case FROZEN -> n.freeze();
            case KILLED -> n.kill();
            default -> {}
        }
    }

    private void end(Fault fault, EntryProcess n) throws IOException, InterruptedException {
        switch (fault) {
            case CUT_FROM_STORE -> store.cutSecondAddress(false);
            case FROZEN -> n.thaw();
            case KILLED -> {
                n.start();
                n.awaitReady();
            }
            default -> {}
        }
    }

    private List<EntryProcess> undisturbed(Fault fault) {
        return fault == Fault.NONE
                ? nodes
                : nodes.stream().filter(n -> n != nodes.get(VICTIM)).toList();
    }

    /** Requests new adapters at the nodes in turn until the engine has accepted an order under a greater token. */
    private void awaitOrderAfter(EndpointStandIn engine, long token, List<EntryProcess> at)
            throws IOException, InterruptedException {
        int before = engine.orders().size();
        for (int i = 0; i < MAX_TRIES; i++) {
            String adapter = "m/a" + (engine.orders().size() + 2);
            CallerClient.send(
                    at.get(i % at.size()).settings().callerAddress(), "POST", "/events/x", adapter + "-" + i, adapter);
            if (engine.orders().size() > before && lastToken(engine) > token) {
                return;
            }
            TimeUnit.MILLISECONDS.sleep(20);
        }
        throw new AssertionError("no order after token " + token + ", tokens " + engine.tokens());
    }

    private static long lastToken(EndpointStandIn engine) {
        return engine.tokens().get(engine.tokens().size() - 1);
    }

    private static String lastOwner(EndpointStandIn engine) {
        return engine.owners().get(engine.owners().size() - 1);
    }

    private static void awaitStatus(EntryProcess n, String path, int status) throws IOException, InterruptedException {
        String expected = "HTTP/1.1 " + status;
        String response = "";
        for (int i = 0; i < MAX_TRIES && !response.startsWith(expected); i++) {
            response = get(n, path, n.settings().nodeName() + path + i);
            TimeUnit.MILLISECONDS.sleep(20);
        }
        assertThat(response).startsWith(expected);
    }

    private static String get(EntryProcess n, String path, String id) throws IOException {
        return CallerClient.send(n.settings().callerAddress(), "GET", path, id, null);
    }

    private EndpointStandIn endpoint(String id, String service, BiConsumer<EndpointStandIn, ServerExchange> behaviour) {
        EndpointStandIn e = new EndpointStandIn(id, service, behaviour);
        endpoints.add(e);
        store.writeEndpoint(id, e.entry());
        return e;
    }

    /** Starts three nodes, the victim at the address of the store that can be cut. */
    private void startNodes() throws Exception {
        Set<String> seeds = Set.of();
        for (int i = 0; i < 3; i++) {
            BootSettings s = TestSettings.of("n" + i, seeds, i == VICTIM ? store.secondAddress() : store.address());
            nodes.add(new EntryProcess(s, directory));
            seeds = Set.of(nodes.get(0).settings().peerAddress());
        }
        for (EntryProcess n : nodes) {
            n.awaitReady();
        }
        for (EntryProcess n : nodes) {
            while (CallerClient.directory(n.settings().directoryAddress()).split("127\\.0\\.0\\.1", -1).length < 4) {
                TimeUnit.MILLISECONDS.sleep(20);
            }
        }
    }
}
