package org.quetzalvane.core.serve;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.quetzalvane.core.event.EventCode;
import org.quetzalvane.core.limit.Permit;
import org.quetzalvane.core.residency.AdapterLoader;
import org.quetzalvane.core.routes.RouteKind;

import static org.assertj.core.api.Assertions.assertThat;

/** How often one request arrives at endpoints, on which it runs and what it takes from the retry budget. */
class RepeatedArrivalsTest extends RequestFlowFixture {
    /** Attempts that the routes permit. */
    private static final int MAX_ATTEMPTS = 2;
    /** Retries of the extra that one node may use, 0.8 * 50. */
    private static final int EXTRA_RETRIES = 40;

    private static final byte[] EVENT = "id: 1\ndata: a\n\n".getBytes();

    private final Set<Integer> notRun = new HashSet<>();
    private final Set<Integer> notArrived = new HashSet<>();
    private final Set<Integer> begun = new HashSet<>();
    private final Set<Integer> ran = new HashSet<>();

    static IntStream seeds() {
        return IntStream.range(0, 400);
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void attemptsStayWithinTheRouteAndTheBudget(int seed) {
        for (int n = 3; n <= 6; n++) {
            endpoints.apply(endpoint("plain-" + n, "plain", "v1", Map.of("m", Map.of("a1", 1))));
            endpoints.apply(endpoint("engine-" + n, "engines", "v1", Map.of("m", Map.of("a1", 1))));
        }
        Random random = new Random(seed);
        RouteKind kind = seed % 2 == 0 ? RouteKind.STREAMING : RouteKind.IDEMPOTENT;
        String service = kind == RouteKind.STREAMING ? "engines" : "plain";
        RequestFlow flow = start(kind, kind == RouteKind.STREAMING ? RESIDENT_ADAPTER : null);
        for (int i = 0; i < 30 && !flow.isDone(); i++) {
            step(random, random.nextInt(client.listeners.size()));
        }
        if (!flow.isDone()) {
            flow.callerDisconnected();
        }
        int arrived = client.sent.size() - notArrived.size();
        int retries = EXTRA_RETRIES - availableRetries(service);
        assertThat(arrived - notRun.size()).as("endpoints that may run it").isLessThanOrEqualTo(MAX_ATTEMPTS);
        assertThat(arrived - 1).as("repeats").isLessThanOrEqualTo(retries);
        advance(11_000);
        assertThat(availableRetries(service)).as("none is left reserved").isEqualTo(EXTRA_RETRIES);
    }

    private void step(Random random, int attempt) {
        EndpointClient.Listener l = client.listeners.get(attempt);
        boolean open = !notRun.contains(attempt) && !notArrived.contains(attempt) && !begun.contains(attempt);
        switch (random.nextInt(8)) {
            case 0 -> advance(100 + random.nextInt(1_500));
            case 1 -> advance(480 + random.nextInt(300));
            case 2 -> {
                ran.add(attempt);
                l.failed(false, "reset");
            }
            case 3 -> {
                if (open && begun.add(attempt)) {
                    l.head(head(200, false));
                }
            }
            case 4 -> {
                if (begun.contains(attempt)) {
                    l.body(EVENT);
                }
            }
            case 5 -> {
                if (open && mayDeny(attempt)) {
                    notRun.add(attempt);
                    l.head(head(503, true));
                }
            }
            case 6 -> {
                if (open && mayDeny(attempt)) {
                    notArrived.add(attempt);
                    l.failed(true, "connection refused");
                }
            }
            default -> {
                if (open && begun.add(attempt)) {
                    l.head(plainHead(500));
                    l.end();
                }
            }
        }
    }

    /** Whether an attempt can still turn out not to have run: the node has neither cancelled nor ended it. */
    private boolean mayDeny(int attempt) {
        return !ran.contains(attempt) && client.open.contains(attempt);
    }

    @Test
    void requestIsNotSentToAnEngineThatAskedToWaitWhileItLoadedTheAdapter() {
        start(RouteKind.STREAMING, MISSING_ADAPTER);
        String engine = loader.engines.get(0);
        endpoints.backOff(endpoint(engine, "engines", "v1", Map.of()), 4_000);
        advance(100);
        loader.complete(AdapterLoader.Outcome.RESIDENT);
        assertThat(client.sent).doesNotContain(engine);
        assertThat(loader.engines).hasSize(2).last().isNotEqualTo(engine);
    }

    /** Guards against requests to an endpoint that asked to wait while they were connecting to it. */
    @ParameterizedTest
    @EnumSource(RouteKind.class)
    void requestIsNotSentToAnEndpointThatAskedToWaitBeforeItsConnection(RouteKind kind) {
        List<String> written = new ArrayList<>();
        client.onWritten((endpoint, id) -> written.add(endpoint));
        client.connecting = true;
        start(kind, kind == RouteKind.STREAMING ? RESIDENT_ADAPTER : null);
        String first = client.sent.get(0);
        endpoints.backOff(endpoint(first, first.split("-")[0].replace("engine", "engines"), "v1", Map.of()), 4_000);
        client.connecting = false;
        client.connect();
        client.withheld.forEach(l -> l.failed(true, "expired"));
        assertThat(written).hasSize(1).doesNotContain(first);
        assertThat(logged).doesNotContain(EventCode.ENDPOINT_SUSPENDED, EventCode.REQUEST_RETRIED);
    }

    @ParameterizedTest
    @EnumSource(RouteKind.class)
    void requestIsNotSentToAnEndpointThatAskedToWaitBeforeItsPermit(RouteKind kind) {
        permits.waits.putAll(Map.of("plain-1", 0L, "plain-2", 0L, "engine-1", 0L, "engine-2", 0L));
        start(kind, kind == RouteKind.STREAMING ? RESIDENT_ADAPTER : null);
        String first = permits.asked.get(0);
        endpoints.backOff(endpoint(first, first.split("-")[0].replace("engine", "engines"), "v1", Map.of()), 4_000);
        permits.last.accept(new Permit(true, 0));
        assertThat(client.sent).isEmpty();
        assertThat(permits.returned).containsExactly(first);
        assertThat(permits.asked).hasSize(2).last().isNotEqualTo(first);
    }

    @Test
    void candidateIsNotSentToAnEndpointThatAskedToWaitBeforeItsPermit() {
        permits.waits.putAll(Map.of("plain-1", 0L, "plain-2", 0L));
        start(RouteKind.IDEMPOTENT, null);
        permits.last.accept(new Permit(true, 0));
        advance(490);
        assertThat(permits.asked).hasSize(2);
        String candidate = permits.asked.get(1);
        endpoints.backOff(endpoint(candidate, "plain", "v1", Map.of()), 4_000);
        permits.last.accept(new Permit(true, 0));
        assertThat(client.sent).hasSize(1);
        assertThat(permits.returned).containsExactly(candidate);
    }
}
