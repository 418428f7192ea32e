package org.quetzalvane.core.residency;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.quetzalvane.core.fleet.Endpoint;
import org.quetzalvane.core.routes.AdapterRef;
import org.quetzalvane.core.routes.BaseModel;
import org.quetzalvane.core.routes.EngineSpec;
import org.quetzalvane.core.time.ManualScheduler;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * An owner that does not reach its engine, on a manual clock.
 *
 * <p>Guards against load requests that wait until their time is over although the owner knows that it cannot perform
 * them, so that no time is left for another engine.
 */
class UnreachableEngineTest {
    private static final EngineSpec SPEC = new EngineSpec(4, 1_000, List.of(new BaseModel("m", 10, 1)), 100, 3);
    /** Longest time until an engine that ended counts as out of reach: two reports, each after a delay. */
    private static final long DETECTED_MS = 4 * EngineController.REPORT_DELAY_MS;

    private static final long POLL_MS = EngineController.MODEL_POLL_INTERVAL_MS + EngineController.REPORT_DELAY_MS;

    private final ManualScheduler clock = new ManualScheduler();
    private final FakeEngine engine = new FakeEngine(clock);
    private final List<String> outcomes = new ArrayList<>();
    private long token = 5;
    private final EngineController controller = new EngineController(
            new EngineController.Context(
                    clock,
                    engine,
                    (c, s, f) -> {},
                    new AdapterUsage(clock),
                    new LoadTimeEstimator(clock, () -> 0, () -> 6)),
            () -> token,
            SPEC,
            new Endpoint("e1", "s", "127.0.0.1", 1, "a", "v1", Endpoint.State.READY, 4, 1, Map.of()));

    private void request(int n) {
        controller.request(
                new LoadRequest(new AdapterRef("m", "a" + n), 0, 1, 1_000, 1_280),
                ok -> outcomes.add("a" + n + "=" + ok + (controller.isReachable() ? "" : " unreachable")));
    }

    private void advance(long ms) {
        clock.advance(Duration.ofMillis(ms));
    }

    /** The engine ends while a load is under way, or before the owner has read its state. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void waitingRequestsAreRefusedOnceTheEngineIsOutOfReach(boolean readBefore) {
        if (readBefore) {
            request(1);
            advance(1_000);
            outcomes.clear();
        }
        engine.ended = true;
        request(2);
        request(3);
        advance(DETECTED_MS);
        assertThat(outcomes).containsExactlyInAnyOrder("a2=false unreachable", "a3=false unreachable");
    }

    @Test
    void furtherRequestsAreRefusedAtOnceUntilTheEngineIsBack() {
        engine.ended = true;
        request(1);
        advance(10 * POLL_MS);
        outcomes.clear();
        request(2);
        assertThat(outcomes).containsExactly("a2=false unreachable");
        engine.ended = false;
        advance(POLL_MS);
        request(3);
        advance(LoadTimeEstimator.STORE_LOAD_MS + 5);
        assertThat(outcomes).containsExactly("a2=false unreachable", "a3=true");
    }

    /** Another instance has started under the id; the list names it soon. */
    @Test
    void reportOfAnotherInstanceIsNoReport() {
        engine.born = 2;
        request(1);
        advance(DETECTED_MS);
        assertThat(outcomes).containsExactly("a1=false unreachable");
    }

    /** A report that is missing once, an owner that has not read one yet, and an engine that loads a base model. */
    @ParameterizedTest
    @CsvSource({"1, false, 5, true", "0, true, 5, false", "0, false, -1, false"})
    void requestsWaitWhileTheStateIsUnknownForAMoment(int missing, boolean busy, long currentToken, boolean loaded) {
        engine.missingReports = missing;
        engine.busy = busy;
        token = currentToken;
        request(1);
        advance(DETECTED_MS + LoadTimeEstimator.STORE_LOAD_MS + 10);
        assertThat(controller.isReachable()).isTrue();
        assertThat(outcomes).isEqualTo(loaded ? List.of("a1=true") : List.of());
    }
}
