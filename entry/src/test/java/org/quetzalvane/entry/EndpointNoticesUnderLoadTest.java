package org.quetzalvane.entry;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.stream.Collectors;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.extension.RegisterExtension;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.quetzalvane.entry.ClosedLoopCallers.Result;
import org.quetzalvane.entry.FewSlotsEndpoint.Arrival;
import org.quetzalvane.platform.BootSettings;
import org.quetzalvane.platform.standin.EndpointStandIn;
import org.quetzalvane.platform.standin.SampleConfig;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Endpoints that say in their answers that they leave or want to be left alone, while callers of three nodes keep every
 * slot of the others taken, over loopback.
 */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class EndpointNoticesUnderLoadTest {
    private static final int NODES = 3;
    private static final int OTHERS = 3;
    private static final int CALLERS_PER_NODE = 8;
    private static final int RETRY_AFTER_S = 3;
    /** Requests from one node that may reach an endpoint within the time for which it asked for none. */
    private static final int MAX_WITHIN_WAIT = 2;
    /** Time after its answer within which an endpoint may still be sent requests, ns. */
    private static final long GRACE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    /** Time limit for the last request to a leaving endpoint, ns; the nodes' drain timeout. */
    private static final long DRAIN_NANOS = TimeUnit.MILLISECONDS.toNanos(2_000);
    /** Requests sent after the time limit. */
    private static final int LATE_REQUESTS = 100;
    /** Longest wait for an observation, seconds. */
    private static final int WAIT_S = 15;

    private static final String VARIED = "endpoint-0";

    @RegisterExtension
    final LoopbackCluster cluster = new LoopbackCluster();

    private final List<BootSettings> nodes = new ArrayList<>();
    private final List<FewSlotsEndpoint> others = new ArrayList<>();
    private final AtomicLong firstPassedOn = new AtomicLong(Long.MAX_VALUE);
    private final CountDownLatch lateResults = new CountDownLatch(LATE_REQUESTS);
    private final ClosedLoopCallers callers = new ClosedLoopCallers(this::onResult);
    private final int port = port(TestPorts.freeAddress());

    @AfterEach
    void stopCallers() {
        callers.close();
    }

    @ParameterizedTest
    @ValueSource(strings = {"plain", "engines"})
    void refusingEndpointIsLeftAloneByEachNodeForTheTimeItAskedFor(String service) throws Exception {
        Map<String, Long> firstArrivals = new ConcurrentHashMap<>();
        CountDownLatch askedAgain = new CountDownLatch(NODES);
        Set<String> nodesAgain = ConcurrentHashMap.newKeySet();
        FewSlotsEndpoint refusing = endpoint(service, 1, RETRY_AFTER_S, a -> {
            long first = firstArrivals.computeIfAbsent(a.node(), n -> a.nanos());
            if (a.nanos() - first > waitNanos() && nodesAgain.add(a.node())) {
                askedAgain.countDown();
            }
        });
        startOthersAndNodes(service);
        startCallers(service);
        boolean again = askedAgain.await(WAIT_S, TimeUnit.SECONDS);
        List<Result> results = callers.stop();
        assertSlotsWereTaken();
        for (BootSettings node : nodes) {
            List<Arrival> ofNode = refusing.arrivals().stream()
                    .filter(a -> a.node().equals(node.nodeName()))
                    .toList();
            assertThat(ofNode).as("requests of %s", node.nodeName()).isNotEmpty();
            for (Arrival a : ofNode) {
                assertThat(withinWait(a, ofNode))
                        .as("requests of %s within the wait", node.nodeName())
                        .hasSizeLessThanOrEqualTo(MAX_WITHIN_WAIT);
            }
        }
        assertThat(again).as("whether each node asks again after the wait").isTrue();
        assertServedOrTruthfullyRefused(results, Set.of());
    }

    @ParameterizedTest
    @ValueSource(strings = {"plain", "engines"})
    void leavingEndpointReceivesNothingAfterTheDrainTimeoutUntilItsNextInstance(String service) throws Exception {
        NodesSeen before = new NodesSeen();
        FewSlotsEndpoint leaving = endpoint(service, 1, 0, before);
        startOthersAndNodes(service);
        startCallers(service);
        assertThat(before.await()).as("whether each node uses the endpoint").isTrue();
        leaving.leave();
        assertThat(lateResults.await(WAIT_S, TimeUnit.SECONDS))
                .as("whether the nodes answer after the time limit")
                .isTrue();
        List<Result> results = callers.stop();
        assertSlotsWereTaken();
        Set<String> late =
                results.stream().filter(this::sentLate).map(Result::id).collect(Collectors.toSet());
        assertThat(leaving.arrivals()).extracting(Arrival::id).doesNotContainAnyElementsOf(late);
        Set<String> served =
                results.stream().filter(Result::isOk).map(Result::id).collect(Collectors.toSet());
        assertThat(served).as("requests in flight").containsAll(leaving.ran());
        assertThat(served).as("requests after the time limit").containsAnyElementsOf(late);
        assertServedOrTruthfullyRefused(results, leaving.ran());
        leaving.end();
        NodesSeen after = new NodesSeen();
        endpoint(service, 2, 0, after);
        startCallers(service);
        assertThat(after.await()).as("whether each node uses the next instance").isTrue();
        callers.stop();
    }

    private static long waitNanos() {
        return TimeUnit.SECONDS.toNanos(RETRY_AFTER_S);
    }

    private static List<Arrival> withinWait(Arrival answered, List<Arrival> arrivals) {
        return arrivals.stream()
                .filter(a -> a.nanos() - answered.nanos() > GRACE_NANOS)
                .filter(a -> a.nanos() - answered.nanos() < waitNanos())
                .toList();
    }

    private void onResult(Result r) {
        if (r.hasHeader("server-leaving")) {
            firstPassedOn.accumulateAndGet(r.receivedNanos(), Math::min);
        }
        if (sentLate(r)) {
            lateResults.countDown();
        }
    }

    private boolean sentLate(Result r) {
        long passedOn = firstPassedOn.get();
        return passedOn != Long.MAX_VALUE && r.sentNanos() - passedOn > DRAIN_NANOS;
    }

    private void assertSlotsWereTaken() {
        assertThat(others).allMatch(e -> e.overflows() > 0);
    }

    private void assertServedOrTruthfullyRefused(List<Result> results, Set<String> ranElsewhere) {
        Set<String> ran = new HashSet<>(ranElsewhere);
        others.forEach(e -> ran.addAll(e.ran()));
        assertThat(others).allMatch(e -> !e.ran().isEmpty());
        assertThat(results.stream()
                        .filter(r -> !(r.isOk() ? ran.contains(r.id()) : r.isRefusal() && !ran.contains(r.id()))))
                .as("results of %s requests that are neither served nor truthfully refused", results.size())
                .isEmpty();
    }

    private void startCallers(String service) {
        boolean engines = service.equals("engines");
        callers.start(
                nodes,
                CALLERS_PER_NODE,
                engines ? "POST" : "GET",
                engines ? "/events/x" : "/again/x",
                engines ? "m/a1" : null);
    }

    private void startOthersAndNodes(String service) throws Exception {
        cluster.store().writeConfig(SampleConfig.withVersion(1));
        for (int i = 1; i <= OTHERS; i++) {
            others.add(
                    endpoint(new EndpointStandIn.Instance("endpoint-" + i, 1, 0, Set.of("a1")), service, 0, a -> {}));
        }
        for (int i = 0; i < NODES; i++) {
            nodes.add(cluster.startNode());
        }
        cluster.awaitNodesKnowEachOther();
    }

    private FewSlotsEndpoint endpoint(String service, long born, int retryAfterS, Consumer<Arrival> listener) {
        return endpoint(new EndpointStandIn.Instance(VARIED, born, port, Set.of("a1")), service, retryAfterS, listener);
    }

    private FewSlotsEndpoint endpoint(
            EndpointStandIn.Instance instance, String service, int retryAfterS, Consumer<Arrival> listener) {
        FewSlotsEndpoint e = cluster.add(new FewSlotsEndpoint(instance, service, retryAfterS, listener));
        cluster.store().writeEndpoint(instance.id(), e.entry());
        return e;
    }

    private static int port(String address) {
        return Integer.parseInt(address.substring(address.indexOf(':') + 1));
    }

    /** Waits until a request of each node has arrived. Thread-safe. */
    private static final class NodesSeen implements Consumer<Arrival> {
        private final Set<String> names = ConcurrentHashMap.newKeySet();
        private final CountDownLatch missing = new CountDownLatch(NODES);

        @Override
        public void accept(Arrival a) {
            if (names.add(a.node())) {
                missing.countDown();
            }
        }

        boolean await() throws InterruptedException {
            return missing.await(WAIT_S, TimeUnit.SECONDS);
        }
    }
}
