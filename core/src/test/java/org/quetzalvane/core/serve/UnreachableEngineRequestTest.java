package org.quetzalvane.core.serve;

import java.util.Map;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.quetzalvane.core.residency.AdapterLoader;
import org.quetzalvane.core.routes.RouteKind;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Requests for adapters while owners do not reach their engines, on a manual clock.
 *
 * <p>Guards against a request that is refused though an engine could serve it: each request for two of four adapters
 * was, as long as engines that had ended were listed.
 */
class UnreachableEngineRequestTest extends RequestFlowFixture {
    private static final int ENGINES = 6;

    @BeforeEach
    void addEngines() {
        for (int n = 3; n <= ENGINES; n++) {
            endpoints.apply(endpoint("engine-" + n, "engines", "v1", Map.of("m", Map.of("a1", 1))));
        }
    }

    @Test
    void requestGoesOnToTheNextEngineUntilOneIsInReach() {
        start(RouteKind.STREAMING, MISSING_ADAPTER);
        for (int n = 1; n < ENGINES; n++) {
            loader.complete(AdapterLoader.Outcome.UNREACHABLE);
        }
        assertThat(loader.engines).hasSize(ENGINES).doesNotHaveDuplicates();
        loader.complete(AdapterLoader.Outcome.RESIDENT);
        assertThat(client.sent).containsExactly(loader.engines.get(ENGINES - 1));
    }

    @Test
    void requestIsRefusedAtOnceIfNoEngineIsInReach() {
        start(RouteKind.STREAMING, MISSING_ADAPTER);
        loader.completeAll(AdapterLoader.Outcome.UNREACHABLE);
        assertThat(loader.engines).hasSize(ENGINES).doesNotHaveDuplicates();
        assertThat(response.errorCode.provesNotRun()).isTrue();
        assertThat(client.sent).isEmpty();
    }

    /** An owner that is cut off from an engine, or gone, does not evict the adapter either. */
    @ParameterizedTest
    @EnumSource(
            value = AdapterLoader.Outcome.class,
            names = {"UNREACHABLE", "NO_OWNER"})
    void residentAdapterIsUsedWithoutItsOwner(AdapterLoader.Outcome outcome) {
        loader.residentOutcome = outcome;
        start(RouteKind.STREAMING, RESIDENT_ADAPTER);
        assertThat(client.sent).containsExactly(loader.engines.get(0));
    }

    /** An engine that this node does not reach either costs the request one connection. */
    @Test
    void requestGoesOnIfTheNodeDoesNotReachTheEngineEither() {
        loader.residentOutcome = AdapterLoader.Outcome.UNREACHABLE;
        start(RouteKind.STREAMING, RESIDENT_ADAPTER);
        client.last().failed(true, "connection refused");
        assertThat(client.sent).hasSize(2).doesNotHaveDuplicates();
    }

    /** A stream that broke off has no engine until one is in reach; it does not ask without a pause. */
    @Test
    void brokenOffStreamWaitsForAnEngineInReach() {
        start(RouteKind.STREAMING, MISSING_ADAPTER);
        loader.complete(AdapterLoader.Outcome.RESIDENT);
        client.last().head(head(200, false));
        client.last().body("id: 1\ndata: a\n\n".getBytes());
        client.last().failed(false, "reset");
        int asked = loader.engines.size();
        loader.complete(AdapterLoader.Outcome.UNREACHABLE);
        assertThat(loader.engines).hasSize(asked);
        advance(100);
        assertThat(loader.engines).hasSize(asked + 1);
        loader.complete(AdapterLoader.Outcome.RESIDENT);
        assertThat(client.sent).hasSize(2);
        assertThat(response.aborted).isFalse();
    }
}
