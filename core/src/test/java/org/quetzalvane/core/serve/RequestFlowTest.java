package org.quetzalvane.core.serve;

import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.quetzalvane.core.ResultCode;
import org.quetzalvane.core.limit.RetryAfter;
import org.quetzalvane.core.residency.AdapterLoader;
import org.quetzalvane.core.routes.RouteKind;

import static org.assertj.core.api.Assertions.assertThat;

/** Handling of one request, on a manual clock and with endpoints controlled by the test. */
class RequestFlowTest extends RequestFlowFixture {

    @Test
    void nonIdempotentRequestIsNeitherRetriedNorReportedAsNotRun() {
        start(RouteKind.NON_IDEMPOTENT, null);
        client.last().failed(false, "reset");
        assertThat(client.sent).hasSize(1);
        assertThat(response.errorCode).isEqualTo(ResultCode.OUTCOME_UNKNOWN);
    }

    /** A second copy of the refusal would have the id of both attempts. */
    @Test
    void requestIsSentAgainToTheSameEndpointOnANewConnectionOnly() {
        start(RouteKind.STREAMING, RESIDENT_ADAPTER);
        assertThat(client.requests.get(0).reuse()).isEqualTo(EndpointRequest.Reuse.ANY);
        client.last().head(head(421, true));
        assertThat(client.sent).hasSize(2).containsOnly(client.sent.get(0));
        assertThat(client.requests.get(1).reuse()).isEqualTo(EndpointRequest.Reuse.NONE);
    }

    @ParameterizedTest
    @EnumSource(RouteKind.class)
    void failedConnectionIsRetriedAtAnotherEndpoint(RouteKind kind) {
        start(kind, kind == RouteKind.STREAMING ? RESIDENT_ADAPTER : null);
        String first = client.sent.get(0);
        client.last().failed(true, "refused");
        assertThat(client.sent).hasSize(2).last().isNotEqualTo(first);
    }

    @ParameterizedTest
    @CsvSource({"503", "429", "421", "400"})
    void requestThatNoEndpointRanIsRefusedWithARetryTime(int status) {
        start(RouteKind.NON_IDEMPOTENT, null);
        while (response.errorCode == null) {
            client.last().head(head(status, true));
        }
        assertThat(client.sent).hasSize(2);
        assertThat(response.errorCode.provesNotRun()).isTrue();
        assertThat(response.retryAfterMs).isPositive();
    }

    @Test
    void refusalAfterAnAttemptThatMayHaveRunIsNotReportedAsNotRun() {
        start(RouteKind.IDEMPOTENT, null);
        client.last().failed(false, "reset");
        client.last().head(head(503, true));
        while (response.errorCode == null) {
            client.last().head(head(503, true));
        }
        assertThat(response.errorCode.provesNotRun()).isFalse();
    }

    @Test
    void stalledIdempotentRequestIsRetriedAtAnotherEndpoint() {
        start(RouteKind.IDEMPOTENT, null);
        advance(1_000);
        assertThat(client.sent).hasSize(2);
        assertThat(client.cancelled).isEqualTo(1);
    }

    @Test
    void stalledNonIdempotentRequestWaitsUntilItsDeadline() {
        start(RouteKind.NON_IDEMPOTENT, null);
        advance(2_900);
        assertThat(client.sent).hasSize(1);
        advance(100);
        assertThat(response.errorCode).isEqualTo(ResultCode.PROGRESS_TIMEOUT);
        assertThat(client.cancelled).isEqualTo(1);
    }

    @Test
    void requestOfADisconnectedCallerIsCancelled() {
        RequestFlow flow = start(RouteKind.NON_IDEMPOTENT, null);
        flow.callerDisconnected();
        assertThat(client.cancelled).isEqualTo(1);
        assertThat(loads.sum(List.of())).isEmpty();
    }

    @Test
    void streamBrokenOffWithinAnEventResumesAfterTheLastCompleteEvent() {
        start(RouteKind.STREAMING, RESIDENT_ADAPTER);
        client.last().head(head(200, false));
        client.last().body("id: 1\ndata: a\n\nid: 2\nda".getBytes());
        client.last().failed(false, "reset");
        assertThat(client.requests.get(1).lastEventId()).isEqualTo("1");
        client.last().head(head(200, false));
        client.last().body("id: 2\ndata: b\n\n".getBytes());
        client.last().end();
        assertThat(response.body).hasToString("id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
        assertThat(response.ended).isTrue();
    }

    /** Without an id that can be sent, another endpoint would begin anew or the request could not be sent at all. */
    @ParameterizedTest
    @ValueSource(strings = {"data: a\n\n", "id:\ndata: a\n\n", "id: 1\u00012\ndata: a\n\n"})
    void streamWhoseEventsHaveNoUsableIdIsNotResumed(String events) {
        start(RouteKind.STREAMING, RESIDENT_ADAPTER);
        client.last().head(head(200, false));
        client.last().body(events.getBytes());
        client.last().failed(false, "reset");
        assertThat(client.sent).hasSize(1);
        assertThat(response.aborted).isTrue();
    }

    @Test
    void streamThatEndsWithinAnEventIsNotReportedAsComplete() {
        start(RouteKind.STREAMING, RESIDENT_ADAPTER);
        for (int i = 0; i < 2; i++) {
            client.last().head(head(200, false));
            client.last().body("id: 1\ndata: a\n\nid: 2\nda".getBytes());
            client.last().end();
        }
        assertThat(response.ended).isFalse();
        assertThat(response.aborted).isTrue();
    }

    @Test
    void missingAdapterIsLoadedBeforeTheRequestIsSent() {
        start(RouteKind.STREAMING, MISSING_ADAPTER);
        assertThat(client.sent).isEmpty();
        loader.complete(AdapterLoader.Outcome.RESIDENT);
        assertThat(client.sent).containsExactly(loader.engines.get(0));
    }

    /** A load that ends later than expected must not cause a second load on another engine. */
    @Test
    void requestRefusedForItsAdapterWaitsForTheLoadOnTheSameEngineOnce() {
        start(RouteKind.STREAMING, MISSING_ADAPTER);
        loader.complete(AdapterLoader.Outcome.RESIDENT);
        String engine = loader.engines.get(0);
        client.last().head(head(421, true));
        assertThat(loader.engines).containsExactly(engine, engine);
        assertThat(loader.lastRequest.refused()).isTrue();
        loader.complete(AdapterLoader.Outcome.RESIDENT);
        assertThat(client.sent).containsExactly(engine, engine);
        client.last().head(head(421, true));
        assertThat(loader.engines).hasSize(3);
        assertThat(loader.engines.get(2)).isNotEqualTo(engine);
    }

    /** A fixed retry time made callers return together, after 3 s whatever the runs that hold the slots last. */
    @Test
    void requestWithoutAnAdapterSlotIsRefusedAsNotRun() {
        start(RouteKind.STREAMING, MISSING_ADAPTER);
        while (response.errorCode == null) {
            loader.complete(AdapterLoader.Outcome.REFUSED);
        }
        assertThat(response.errorCode.provesNotRun()).isTrue();
        long spread = RetryAfter.spread(2_000, "id");
        assertThat(response.retryAfterMs).isEqualTo(spread).isBetween(2_000L, 2_500L);
        assertThat(client.sent).isEmpty();
    }

    /**
     * The limits on loads restart when a stream breaks off, so that a load can be requested long after the request
     * arrived.
     */
    @Test
    void loadLimitsRestartWhenAStreamBreaksOff() {
        endpoints.apply(restarted("engine-2"));
        start(RouteKind.STREAMING, RESIDENT_ADAPTER);
        client.last().head(head(200, false));
        for (int i = 1; i <= 20; i++) {
            advance(100);
            client.last().body(("id: " + i + "\ndata: a\n\n").getBytes());
        }
        client.last().failed(false, "reset");
        assertThat(loader.engines).endsWith("engine-2");
        assertThat(client.sent).containsExactly("engine-1", "engine-2");
        assertThat(response.aborted).isFalse();
    }

    /**
     * An engine that crashes while all adapter slots of the others are taken leaves streams for which no slot is free.
     * Parameters: refused load requests, 100 ms apart, before one succeeds, and whether the stream is resumed.
     */
    @ParameterizedTest
    @CsvSource({"5, true", "40, false"})
    void brokenOffStreamAsksForAnAdapterSlotUntilItsLoadWaitExpires(int refusals, boolean resumed) {
        endpoints.apply(restarted("engine-2"));
        start(RouteKind.STREAMING, MISSING_ADAPTER);
        loader.complete(AdapterLoader.Outcome.RESIDENT);
        client.last().head(head(200, false));
        client.last().body("id: 1\ndata: a\n\n".getBytes());
        client.last().failed(false, "reset");
        for (int i = 0; i < refusals && !response.aborted; i++) {
            loader.complete(AdapterLoader.Outcome.REFUSED);
            advance(100);
        }
        loader.complete(AdapterLoader.Outcome.RESIDENT);
        assertThat(client.sent).hasSize(resumed ? 2 : 1);
        assertThat(response.aborted).isNotEqualTo(resumed);
    }

    @Test
    void waitForAnEngineOwnerIsLimited() {
        start(RouteKind.STREAMING, MISSING_ADAPTER);
        for (int i = 0; i < 10 && response.errorCode == null; i++) {
            loader.complete(AdapterLoader.Outcome.NO_OWNER);
            advance(250);
        }
        assertThat(response.errorCode).isEqualTo(ResultCode.LOAD_FAILED);
    }

    @Test
    void requestIsRefusedAtOnceWhileAllEndpointsAskedToWait() {
        endpoints.backOff(endpoint("plain-1", "plain", "v1", Map.of()), 4_000);
        endpoints.backOff(endpoint("plain-2", "plain", "v1", Map.of()), 2_000);
        start(RouteKind.IDEMPOTENT, null);
        assertThat(client.sent).isEmpty();
        assertThat(response.errorCode.provesNotRun()).isTrue();
        assertThat(response.retryAfterMs).isBetween(2_000L, 2_500L);
    }

    /** A wait of the engine that holds the adapter must not cut the adapter off where another engine may load it. */
    @Test
    void waitOfOneEngineLeavesTheOthers() {
        endpoints.backOff(endpoint("engine-1", "engines", "v1", Map.of()), 4_000);
        start(RouteKind.STREAMING, RESIDENT_ADAPTER);
        assertThat(client.sent).containsExactly("engine-2");
    }
}
