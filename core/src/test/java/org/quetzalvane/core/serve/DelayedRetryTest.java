package org.quetzalvane.core.serve;

import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.quetzalvane.core.choice.RetryBudgetJudge;
import org.quetzalvane.core.event.EventCode;
import org.quetzalvane.core.fleet.Endpoint;
import org.quetzalvane.core.limit.Permit;
import org.quetzalvane.core.residency.AdapterLoader;
import org.quetzalvane.core.routes.AdapterRef;
import org.quetzalvane.core.routes.RouteKind;

import static org.assertj.core.api.Assertions.assertThat;

/** Retries that wait between the decision and the moment at which they are sent. */
class DelayedRetryTest extends RequestFlowFixture {
    private static final int REQUESTS = 60;
    private static final long WINDOW_MS = 10_000;

    private final RetryBudgetJudge judge = new RetryBudgetJudge(0.2, 50, WINDOW_MS);
    private int begun;

    /** What a retry waits for. */
    private enum Wait {
        LOAD(1_900),
        PERMIT(1_900),
        CONNECTION(400);

        private final long ms;

        Wait(long ms) {
            this.ms = ms;
        }
    }

    @BeforeEach
    void startEngines() {
        endpoints.apply(engine("engine-1", Map.of("a1", 1, "a9", 1)));
        endpoints.apply(engine("engine-2", Map.of("a1", 1)));
        client.onWritten((endpoint, id) -> judge.arrived("engines", id, clock.nanoTime()));
    }

    private static Endpoint engine(String id, Map<String, Integer> adapters) {
        return new Endpoint(
                id,
                "engines",
                "127.0.0.1",
                1,
                "a",
                "v1",
                Endpoint.State.READY,
                10 * REQUESTS,
                1,
                Map.of("m", adapters));
    }

    /** Two bursts of broken streams; the retries of the first are older than a window when the second begins. */
    @ParameterizedTest
    @EnumSource
    void retriesStayWithinTheBudgetWhenTheyArrive(Wait wait) {
        advance(450);
        beginStreams(wait);
        breakOff(wait);
        advance(wait.ms);
        endWait(wait);
        advance(WINDOW_MS + 100 - wait.ms);
        beginStreams(wait);
        breakOff(wait);
        endWait(wait);
        assertThat(judge.repeats()).isPositive();
        assertThat(judge.worst())
                .hasValueSatisfying(w -> assertThat(w.exceeded()).as("%s", w).isFalse());
    }

    /** Guards against retries that are sent although the share of the node has shrunk while they waited. */
    @ParameterizedTest
    @EnumSource
    void retriesBeyondAShareThatHasShrunkAreNotSent(Wait wait) {
        beginStreams(wait);
        breakOff(wait);
        advance(wait.ms);
        retryBudgetNodes = 10;
        endWait(wait);
        int share = (int) (0.8 * (0.2 * REQUESTS + 50.0 / 10));
        assertThat(judge.repeats()).isEqualTo(share);
        assertThat(logged).filteredOn(EventCode.RETRY_SENT::equals).hasSize(share);
        assertThat(logged).filteredOn(EventCode.RETRY_WITHHELD::equals).isNotEmpty();
        assertThat(logged).filteredOn(EventCode.REQUEST_FAILED::equals).hasSize(REQUESTS - share);
        retryBudgetNodes = 1;
        assertThat(availableRetries("engines")).as("none is left reserved").isEqualTo(49 - share);
    }

    private void beginStreams(Wait wait) {
        begun = client.listeners.size();
        for (int i = 0; i < REQUESTS; i++) {
            judge.requested("engines", clock.nanoTime());
            start(request("r" + clock.nanoTime() + "-" + i, wait == Wait.LOAD ? MISSING_ADAPTER : RESIDENT_ADAPTER));
        }
        loader.completeAll(AdapterLoader.Outcome.RESIDENT);
        assertThat(client.listeners).hasSize(begun + REQUESTS);
    }

    /** Breaks off all streams, whose retries wait from then on. */
    private void breakOff(Wait wait) {
        permits.waits.clear();
        if (wait == Wait.PERMIT) {
            permits.waits.putAll(Map.of("engine-1", 0L, "engine-2", 0L));
        }
        client.connecting = wait == Wait.CONNECTION;
        List<EndpointClient.Listener> streams = List.copyOf(client.listeners.subList(begun, begun + REQUESTS));
        streams.forEach(l -> l.failed(false, "reset"));
    }

    private void endWait(Wait wait) {
        switch (wait) {
            case LOAD -> loader.completeAll(AdapterLoader.Outcome.RESIDENT);
            case PERMIT -> permits.decideAll(new Permit(true, 0));
            default -> client.connect();
        }
        permits.waits.clear();
        client.connecting = false;
        client.withheld.forEach(l -> l.failed(true, "expired"));
        IntStream.range(begun + REQUESTS, client.listeners.size())
                .mapToObj(client.listeners::get)
                .filter(l -> !client.withheld.contains(l))
                .forEach(l -> {
                    l.head(plainHead(200));
                    l.end();
                });
    }

    private static CallerRequest request(String id, AdapterRef adapter) {
        return request(id, RouteKind.STREAMING, adapter, null, null);
    }
}
