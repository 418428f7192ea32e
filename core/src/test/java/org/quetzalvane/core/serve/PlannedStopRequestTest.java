package org.quetzalvane.core.serve;

import java.time.Duration;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.quetzalvane.core.ResultCode;
import org.quetzalvane.core.limit.Permit;
import org.quetzalvane.core.routes.RouteKind;

import static org.assertj.core.api.Assertions.assertThat;

/** Requests of a node that was told to stop; the routes of the fixture have a timeout of 3,000 ms. */
class PlannedStopRequestTest extends RequestFlowFixture {
    private static final long TIMEOUT_MS = 3_000;
    private static final long RUN_MS = 100;

    @ParameterizedTest
    @CsvSource({
        "NON_IDEMPOTENT, 3000, true",
        "NON_IDEMPOTENT, 2999, false",
        "NON_IDEMPOTENT, 0, false",
        "IDEMPOTENT, 2999, true",
        "IDEMPOTENT, 100, true",
        "IDEMPOTENT, 99, false",
        "STREAMING, 2999, true",
        "STREAMING, 100, true",
        "STREAMING, 99, false",
    })
    void onlyRequestsThatCanEndInWhatIsLeftAreSent(RouteKind kind, long leftMs, boolean sent) {
        serveOne(kind);
        stop(leftMs);
        start(kind);
        assertThat(client.sent).hasSize(sent ? 2 : 1);
        if (sent) {
            assertThat(client.requests.get(1).remainingMs()).isLessThanOrEqualTo(leftMs);
        } else {
            assertRefusedAtOnce();
        }
    }

    @ParameterizedTest
    @EnumSource(RouteKind.class)
    void requestOfARouteThatServedNothingYetIsMeasuredByItsTimeout(RouteKind kind) {
        stop(TIMEOUT_MS - 1);
        start(kind);
        assertThat(client.sent).isEmpty();
        assertRefusedAtOnce();
    }

    /** One in ten of the newest requests may have taken longer than what is left. */
    @ParameterizedTest
    @CsvSource({"1, true", "2, false"})
    void requestThatMayBeRepeatedIsMeasuredByMostRequestsOfItsRoute(int longRuns, boolean sent) {
        for (int i = 0; i < 10; i++) {
            start(RouteKind.IDEMPOTENT);
            advance(i < longRuns ? 400 : RUN_MS);
            serveLast();
        }
        stop(399);
        start(RouteKind.IDEMPOTENT);
        assertThat(client.sent).hasSize(sent ? 11 : 10);
    }

    @Test
    void deadlineOfTheCallerCountsBeforeTheTimeoutOfTheRoute() {
        stop(1_000);
        CallerRequest r = request(RouteKind.NON_IDEMPOTENT, null, null, null);
        start(new CallerRequest(
                r.id(),
                r.method(),
                r.host(),
                r.target(),
                r.path(),
                r.headers(),
                r.body(),
                1_000,
                r.adapter(),
                r.tokenCounts(),
                r.lastEventId(),
                r.resumes(),
                r.sharedParts(),
                r.credentials()));
        assertThat(client.sent).hasSize(1);
    }

    @Test
    void requestThatWaitsForAPermitIsRefusedWhenTheStopBegins() {
        limitEndpoints();
        start(RouteKind.NON_IDEMPOTENT);
        advance(10);
        stop(TIMEOUT_MS - 11);
        assertRefusedAtOnce();
        permits.last.accept(new Permit(true, 0));
        assertThat(client.sent).isEmpty();
        assertThat(permits.returned).isEqualTo(permits.asked);
    }

    @Test
    void requestThatWaitsForAPermitWhenTheStopBeginsIsRefusedOnceTooLittleIsLeft() {
        serveOne(RouteKind.IDEMPOTENT);
        limitEndpoints();
        start(RouteKind.IDEMPOTENT);
        stop(500);
        assertThat(response.errorCode).isNull();
        advance(450);
        permits.last.accept(new Permit(true, 0));
        assertThat(client.sent).hasSize(1);
        assertRefusedAtOnce();
    }

    @Test
    void requestThatStillWaitsForItsAdapterAtTheEndIsRefused() {
        serveOne(RouteKind.STREAMING);
        start(RouteKind.STREAMING, MISSING_ADAPTER);
        stop(400);
        advance(399);
        assertThat(response.errorCode).isNull();
        advance(1);
        assertRefusedAtOnce();
    }

    @ParameterizedTest
    @EnumSource(RouteKind.class)
    void requestThatStillRunsAtTheEndIsAnsweredAndNotReportedAsNotRun(RouteKind kind) {
        start(kind);
        stop(400);
        advance(399);
        assertThat(response.errorCode).isNull();
        advance(1);
        assertThat(response.errorCode).isEqualTo(ResultCode.OUTCOME_UNKNOWN);
        assertThat(client.cancelled).isEqualTo(1);
    }

    @Test
    void streamThatStillRunsAtTheEndIsBrokenOff() {
        start(RouteKind.STREAMING);
        client.last().head(head(200, false));
        client.last().body("id: 1\ndata: a\n\n".getBytes());
        stop(400);
        advance(400);
        assertThat(response.aborted).isTrue();
        assertThat(response.ended).isFalse();
    }

    @Test
    void retryThatBeginsLateGetsWhatIsLeft() {
        start(RouteKind.IDEMPOTENT);
        stop(1_000);
        advance(300);
        client.last().failed(false, "reset");
        assertThat(client.sent).hasSize(2);
        assertThat(client.requests.get(1).remainingMs()).isBetween(1L, 700L);
    }

    @Test
    void requestThatItsEndpointRefusedIsNotSentAgainIfItCannotEndInTime() {
        start(RouteKind.NON_IDEMPOTENT);
        stop(1_000);
        client.last().head(head(503, true));
        assertThat(client.sent).hasSize(1);
        assertRefusedAtOnce();
    }

    @ParameterizedTest
    @ValueSource(longs = {0, 400})
    void requestThatIsServedInTimeIsLeftAlone(long endsAfterMs) {
        start(RouteKind.NON_IDEMPOTENT);
        stop(401);
        advance(endsAfterMs);
        serveLast();
        advance(TIMEOUT_MS);
        assertThat(response.body).hasToString("ok");
        assertThat(response.errorCode).isNull();
        assertThat(client.cancelled).isZero();
    }

    @Test
    void secondSignalDoesNotMoveTheEnd() {
        start(RouteKind.NON_IDEMPOTENT);
        stop(400);
        advance(300);
        stop(400);
        advance(100);
        assertThat(response.errorCode).isEqualTo(ResultCode.OUTCOME_UNKNOWN);
    }

    private void assertRefusedAtOnce() {
        assertThat(response.errorCode).isEqualTo(ResultCode.DRAINING);
        assertThat(response.retryAfterMs).isZero();
    }

    private void limitEndpoints() {
        for (String e : List.of("plain-1", "plain-2")) {
            permits.waits.put(e, 0L);
        }
    }

    private void stop(long leftMs) {
        gracePeriod.begin(Duration.ofMillis(leftMs));
    }

    private void start(RouteKind kind) {
        start(kind, kind == RouteKind.STREAMING ? RESIDENT_ADAPTER : null);
    }

    private void serveOne(RouteKind kind) {
        start(kind);
        advance(RUN_MS);
        serveLast();
        response.body.setLength(0);
    }

    private void serveLast() {
        client.last().head(plainHead(200));
        client.last().body("ok".getBytes());
        client.last().end();
    }
}
