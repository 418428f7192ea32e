package org.quetzalvane.core.serve;

import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.quetzalvane.core.residency.AdapterLoader;
import org.quetzalvane.core.routes.RouteKind;

import static org.assertj.core.api.Assertions.assertThat;

/** Requests whose endpoint falls silent and goes on, on a manual clock. */
class SilentEndpointTest extends RequestFlowFixture {
    private static final byte[] FIRST_EVENT = "id: 1\ndata: a\n\n".getBytes();
    private static final byte[] SECOND_EVENT = "id: 2\ndata: b\n\n".getBytes();
    private static final String BOTH_EVENTS = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

    @ParameterizedTest
    @ValueSource(longs = {1_000, 1_250, 1_900, 2_900})
    void responseThatIsTooLargeToBeRepeatedSurvivesASilence(long silenceMs) {
        byte[] half = new byte[BodyBuffer.MAX_BYTES + 1];
        start(RouteKind.IDEMPOTENT, null);
        client.last().head(plainHead(200));
        client.last().body(half);
        advance(silenceMs);
        client.last().body(half);
        client.last().end();
        assertThat(client.sent).hasSize(1);
        assertThat(response.aborted).isFalse();
        assertThat(response.ended).isTrue();
        assertThat(response.body).hasSize(2 * half.length);
    }

    @ParameterizedTest
    @ValueSource(longs = {1_000, 1_250, 1_900, 2_900})
    void streamSurvivesASilenceWithoutARetryLeft(long silenceMs) {
        start(RouteKind.STREAMING, RESIDENT_ADAPTER);
        client.last().head(head(200, false));
        client.last().body(FIRST_EVENT);
        spendRetryBudget("engines");
        advance(silenceMs);
        client.last().body(SECOND_EVENT);
        client.last().end();
        assertStreamedByOneEndpoint();
    }

    @ParameterizedTest
    @EnumSource(
            value = RouteKind.class,
            names = {"IDEMPOTENT", "STREAMING"})
    void responseThatHasNotBegunIsAwaitedWithoutARetryLeft(RouteKind kind) {
        boolean stream = kind == RouteKind.STREAMING;
        start(kind, stream ? RESIDENT_ADAPTER : null);
        spendRetryBudget(stream ? "engines" : "plain");
        advance(2_000);
        client.last().head(stream ? head(200, false) : plainHead(200));
        client.last().body(FIRST_EVENT);
        client.last().end();
        assertThat(response.errorCode).isNull();
        assertThat(response.body).hasToString(new String(FIRST_EVENT));
    }

    @Test
    void silentEndpointIsKeptWhileTheOthersAreFull() {
        start(RouteKind.IDEMPOTENT, null);
        String other = client.sent.get(0).equals("plain-1") ? "plain-2" : "plain-1";
        for (int i = 0; i < 4; i++) {
            loads.requestStarted(other, 0);
        }
        advance(1_500);
        assertThat(client.sent).hasSize(1);
        assertThat(client.cancelled).isZero();
        loads.requestEnded(other, 0);
        advance(500);
        assertThat(client.sent).hasSize(2);
        assertThat(client.cancelled).isEqualTo(1);
    }

    @Test
    void streamGoesOnAtAnotherEngineOnlyOnceItsAdapterIsLoadedThere() {
        startOnLoadedEngine();
        advance(1_300);
        assertThat(loader.engines).hasSize(2);
        assertThat(client.cancelled).isZero();
        loader.complete(AdapterLoader.Outcome.RESIDENT);
        assertThat(client.cancelled).isZero();
        client.last().head(head(200, false));
        assertThat(client.cancelled).isEqualTo(1);
        assertThat(client.sent).containsExactly(loader.engines.get(0), loader.engines.get(1));
        assertThat(client.requests.get(1).lastEventId()).isEqualTo("1");
    }

    @ParameterizedTest
    @EnumSource(AdapterLoader.Outcome.class)
    void streamStaysAtAnEngineThatGoesOnBeforeALoadElsewhereEnds(AdapterLoader.Outcome outcome) {
        startOnLoadedEngine();
        advance(1_300);
        client.last().body(SECOND_EVENT);
        loader.complete(outcome);
        advance(200);
        client.last().end();
        assertStreamedByOneEndpoint();
    }

    @ParameterizedTest
    @EnumSource(
            value = AdapterLoader.Outcome.class,
            names = {"REFUSED", "NO_OWNER"})
    void streamStaysAtASilentEngineWhileNoOtherCanLoadItsAdapter(AdapterLoader.Outcome outcome) {
        startOnLoadedEngine();
        for (int i = 0; i < 18; i++) {
            advance(100);
            loader.complete(outcome);
        }
        client.last().body(SECOND_EVENT);
        client.last().end();
        assertStreamedByOneEndpoint();
    }

    @Test
    void streamStaysAtASilentEngineWhoseSoftwareVersionNoOtherRuns() {
        endpoints.apply(endpoint("engine-2", "engines", "v2", Map.of("m", Map.of("a1", 1))));
        start(RouteKind.STREAMING, RESIDENT_ADAPTER);
        client.last().head(head(200, false));
        client.last().body(FIRST_EVENT);
        advance(1_900);
        client.last().body(SECOND_EVENT);
        client.last().end();
        assertStreamedByOneEndpoint();
    }

    /** How the endpoint that is to replace a silent one turns the request down. */
    private enum Denial {
        NOT_RUN(c -> c.head(head(503, true))),
        UNREACHABLE(c -> c.failed(true, "refused")),
        BROKEN(c -> c.failed(false, "reset")),
        FAILED(c -> c.head(head(500, false))),
        NO_STREAM(c -> c.head(plainHead(200))),
        OTHER_STATUS(c -> c.head(new ResponseHead(204, List.of(), false, false, true, true, -1, true)));

        private final Consumer<EndpointClient.Listener> act;

        Denial(Consumer<EndpointClient.Listener> act) {
            this.act = act;
        }
    }

    @ParameterizedTest
    @EnumSource(Denial.class)
    void streamStaysAtASilentEngineIfTheOtherOneTurnsItDown(Denial denial) {
        start(RouteKind.STREAMING, RESIDENT_ADAPTER);
        client.last().head(head(200, false));
        client.last().body(FIRST_EVENT);
        EndpointClient.Listener silent = client.last();
        advance(1_300);
        assertThat(client.sent).hasSize(2);
        denial.act.accept(client.last());
        advance(500);
        silent.body(SECOND_EVENT);
        silent.end();
        assertThat(response.aborted).isFalse();
        assertThat(response.body).hasToString(BOTH_EVENTS);
        assertThat(response.ended).isTrue();
    }

    @ParameterizedTest
    @EnumSource(
            value = Denial.class,
            names = {"NOT_RUN", "UNREACHABLE", "BROKEN"})
    void plainResponseIsAwaitedIfTheOtherEndpointTurnsTheRequestDown(Denial denial) {
        start(RouteKind.IDEMPOTENT, null);
        EndpointClient.Listener silent = client.last();
        advance(600);
        assertThat(client.sent).hasSize(2);
        denial.act.accept(client.last());
        advance(500);
        silent.head(plainHead(200));
        silent.body(FIRST_EVENT);
        silent.end();
        assertThat(response.errorCode).isNull();
        assertThat(response.ended).isTrue();
    }

    @Test
    void silentEngineThatGoesOnBeforeTheOtherOneAcceptsKeepsItsStream() {
        start(RouteKind.STREAMING, RESIDENT_ADAPTER);
        client.last().head(head(200, false));
        client.last().body(FIRST_EVENT);
        EndpointClient.Listener silent = client.last();
        advance(1_300);
        silent.body(SECOND_EVENT);
        assertThat(client.cancelled).isEqualTo(1);
        client.last().head(head(200, false));
        client.last().body(SECOND_EVENT);
        silent.end();
        assertThat(response.body).hasToString(BOTH_EVENTS);
        assertThat(response.ended).isTrue();
    }

    /** The platform lets two endpoints work on one request for 400 ms. */
    @Test
    void silentAttemptIsCancelledSoonAfterTheOtherEngineDidNotRefuse() {
        start(RouteKind.STREAMING, RESIDENT_ADAPTER);
        client.last().head(head(200, false));
        client.last().body(FIRST_EVENT);
        advance(1_200);
        assertThat(client.sent).hasSize(2);
        advance(350);
        assertThat(client.cancelled).isEqualTo(1);
        client.last().head(head(200, false));
        client.last().body(SECOND_EVENT);
        client.last().end();
        assertThat(response.body).hasToString(BOTH_EVENTS);
    }

    @Test
    void streamWhoseSilentEngineBreaksOffGoesOnAtTheOneThatWasAsked() {
        start(RouteKind.STREAMING, RESIDENT_ADAPTER);
        client.last().head(head(200, false));
        client.last().body(FIRST_EVENT);
        EndpointClient.Listener silent = client.last();
        advance(1_300);
        silent.failed(false, "reset");
        client.last().head(head(200, false));
        client.last().body(SECOND_EVENT);
        client.last().end();
        assertThat(client.sent).hasSize(2);
        assertThat(response.body).hasToString(BOTH_EVENTS);
        assertThat(response.ended).isTrue();
    }

    @Test
    void requestWhoseConnectionFailsLateGoesOnAtTheEndpointThatWasAsked() {
        start(RouteKind.IDEMPOTENT, null);
        EndpointClient.Listener silent = client.last();
        advance(500);
        assertThat(client.sent).hasSize(2);
        silent.failed(true, "timeout");
        assertThat(client.sent).hasSize(2);
        client.last().head(plainHead(200));
        client.last().body(FIRST_EVENT);
        client.last().end();
        assertThat(response.body).hasToString(new String(FIRST_EVENT));
        assertThat(client.cancelled).as("only the call that failed").isEqualTo(1);
    }

    /** Loads for streams that cannot be resumed would take the adapter slots of other requests. */
    @Test
    void silentStreamsWithoutARetryOrderNoLoads() {
        for (int i = 0; i < 4; i++) {
            startOnLoadedEngine();
        }
        spendRetryBudget("engines", 1);
        advance(1_300);
        assertThat(loader.engines).hasSize(5);
    }

    @Test
    void repeatedSilencesOfOneStreamDoNotSuspendItsEngine() {
        endpoints.apply(restarted("engine-2"));
        start(RouteKind.STREAMING, RESIDENT_ADAPTER);
        EndpointClient.Listener silent = client.last();
        silent.head(head(200, false));
        spendRetryBudget("engines");
        for (int i = 0; i < 2; i++) {
            silent.body(FIRST_EVENT);
            advance(1_225);
        }
        silent.body(FIRST_EVENT);
        start(RouteKind.STREAMING, RESIDENT_ADAPTER);
        assertThat(client.sent).startsWith("engine-1").endsWith("engine-1");
    }

    @Test
    void replacementOfAnAdmittedRequestIsNotRefusedForTheLoad() {
        start(RouteKind.STREAMING, RESIDENT_ADAPTER);
        client.last().head(head(200, false));
        client.last().body(FIRST_EVENT);
        String first = client.sent.get(0);
        String other = first.equals("engine-1") ? "engine-2" : "engine-1";
        loads.requestStarted(other, 100_000);
        advance(1_300);
        assertThat(client.sent).containsExactly(first, other);
    }

    @Test
    void silentAttemptIsNotReplacedWithoutTimeLeftForAnotherOne() {
        start(RouteKind.IDEMPOTENT, null);
        String other = client.sent.get(0).equals("plain-1") ? "plain-2" : "plain-1";
        for (int i = 0; i < 4; i++) {
            loads.requestStarted(other, 0);
        }
        advance(2_850);
        loads.requestEnded(other, 0);
        advance(100);
        assertThat(client.sent).hasSize(1);
    }

    @Test
    void headOfAResponseEndsTheSilence() {
        start(RouteKind.STREAMING, MISSING_ADAPTER);
        loader.complete(AdapterLoader.Outcome.RESIDENT);
        advance(600);
        assertThat(loader.engines).hasSize(2);
        client.last().head(head(200, false));
        loader.complete(AdapterLoader.Outcome.RESIDENT);
        advance(400);
        assertThat(loader.engines).hasSize(2);
        assertThat(client.sent).hasSize(1);
    }

    @Test
    void suspendedEngineIsUsedWhileNoOtherHasTheModel() {
        endpoints.apply(endpoint("engine-2", "engines", "v1", Map.of("m2", Map.of())));
        start(RouteKind.STREAMING, RESIDENT_ADAPTER);
        start(RouteKind.STREAMING, RESIDENT_ADAPTER);
        advance(1_300);
        start(RouteKind.STREAMING, RESIDENT_ADAPTER);
        assertThat(response.errorCode).isNull();
        assertThat(client.sent).containsExactly("engine-1", "engine-1", "engine-1");
    }

    @ParameterizedTest
    @ValueSource(longs = {1_250, 2_500})
    void callerThatDoesNotReadIsNoSilenceOfItsEndpoint(long pauseMs) {
        RequestFlow flow = start(RouteKind.STREAMING, RESIDENT_ADAPTER);
        client.last().head(head(200, false));
        response.full = true;
        client.last().body(FIRST_EVENT);
        assertThat(client.reading).isFalse();
        advance(pauseMs);
        response.full = false;
        flow.callerWritable();
        assertThat(client.reading).isTrue();
        client.last().body(SECOND_EVENT);
        client.last().end();
        assertStreamedByOneEndpoint();
    }

    /** A stream that breaks off while a replacement is being prepared is resumed as one that was not silent. */
    @Test
    void streamThatBreaksOffDuringItsSilenceIsResumedOnce() {
        startOnLoadedEngine();
        advance(1_300);
        client.last().failed(false, "reset");
        loader.complete(AdapterLoader.Outcome.RESIDENT);
        loader.open.values().forEach(load -> load.accept(AdapterLoader.Outcome.RESIDENT));
        assertThat(client.sent).hasSize(2);
        assertThat(response.aborted).isFalse();
    }

    /** Starts a stream on an engine that had to load the adapter, up to its first event. */
    private void startOnLoadedEngine() {
        start(RouteKind.STREAMING, MISSING_ADAPTER);
        loader.complete(AdapterLoader.Outcome.RESIDENT);
        client.last().head(head(200, false));
        client.last().body(FIRST_EVENT);
    }

    private void assertStreamedByOneEndpoint() {
        assertThat(client.sent).hasSize(1);
        assertThat(response.aborted).isFalse();
        assertThat(response.ended).isTrue();
        assertThat(response.body).hasToString(BOTH_EVENTS);
    }
}
