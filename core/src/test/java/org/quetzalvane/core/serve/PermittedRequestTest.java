package org.quetzalvane.core.serve;

import java.util.List;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.quetzalvane.core.ResultCode;
import org.quetzalvane.core.limit.Permit;
import org.quetzalvane.core.quarantine.Verdict;
import org.quetzalvane.core.routes.RouteKind;

import static org.assertj.core.api.Assertions.assertThat;

/** Requests whose endpoints named a limit wait for a permit, go elsewhere or are refused. */
class PermittedRequestTest extends RequestFlowFixture {
    /** Wait from which a request of the routes is not served in time, ms: 1.6 latency objectives of 300 ms. */
    private static final long TOO_LONG_MS = 500;

    @BeforeEach
    void limitEndpoints() {
        for (String e : List.of("plain-1", "plain-2", "engine-1", "engine-2")) {
            permits.waits.put(e, 0L);
        }
    }

    @ParameterizedTest
    @EnumSource(RouteKind.class)
    void nothingIsSentBeforeThePermitIsGranted(RouteKind kind) {
        start(kind, kind == RouteKind.STREAMING ? RESIDENT_ADAPTER : null);
        advance(100);
        assertThat(client.sent).isEmpty();
        permits.last.accept(new Permit(true, 0));
        assertThat(client.sent).isEqualTo(permits.asked);
    }

    @Test
    void requestWhosePermitIsDeniedGoesToAnotherEndpoint() {
        start(RouteKind.IDEMPOTENT, null);
        String first = permits.asked.get(0);
        permits.waits.put(first, 1_000L);
        permits.last.accept(Permit.denied(1_000));
        assertThat(permits.asked).hasSize(2).last().isNotEqualTo(first);
        permits.last.accept(new Permit(true, 0));
        assertThat(client.sent).containsExactly(permits.asked.get(1));
    }

    @ParameterizedTest
    @EnumSource(RouteKind.class)
    void requestThatCannotBeServedInTimeIsRefusedAtOnceWithTheWait(RouteKind kind) {
        permits.waits.replaceAll((e, wait) -> TOO_LONG_MS);
        start(kind, kind == RouteKind.STREAMING ? RESIDENT_ADAPTER : null);
        assertThat(response.errorCode).isEqualTo(ResultCode.OVERLOADED);
        assertThat(permits.asked).isEmpty();
        assertThat(client.sent).isEmpty();
    }

    @Test
    void requestIsRefusedWhenItsPermitIsDeniedAgainAndAgain() {
        start(RouteKind.NON_IDEMPOTENT, null);
        for (int i = 0; i < 3; i++) {
            permits.last.accept(Permit.denied(200));
        }
        assertThat(response.errorCode).isEqualTo(ResultCode.OVERLOADED);
        assertThat(client.sent).isEmpty();
    }

    @Test
    void permitOfACallerThatHasLeftIsReturned() {
        RequestFlow flow = start(RouteKind.IDEMPOTENT, null);
        flow.callerDisconnected();
        permits.last.accept(new Permit(true, 0));
        assertThat(permits.returned).isEqualTo(permits.asked);
        assertThat(client.sent).isEmpty();
    }

    @Test
    void requestThatIsCondemnedWhileItWaitsIsNotSent() {
        start(RouteKind.STREAMING, RESIDENT_ADAPTER);
        quarantine.verdict = Verdict.refuse(1_000, "");
        permits.last.accept(new Permit(true, 0));
        assertThat(response.errorCode).isEqualTo(ResultCode.PROMPT_QUARANTINED);
        assertThat(permits.returned).isEqualTo(permits.asked);
        assertThat(client.sent).isEmpty();
    }

    @Test
    void deadlineEndsARequestThatWaitsAsNotRun() {
        start(RouteKind.IDEMPOTENT, null);
        advance(3_000);
        assertThat(response.errorCode).isEqualTo(ResultCode.DEADLINE_UNREACHABLE);
        permits.last.accept(new Permit(true, 0));
        assertThat(permits.returned).isEqualTo(permits.asked);
    }

    @Test
    void retryNeedsAPermitOfItsOwnAndGoesFirst() {
        start(RouteKind.IDEMPOTENT, null);
        permits.last.accept(new Permit(true, 0));
        client.last().failed(false, "reset");
        assertThat(permits.asked).hasSize(2);
        assertThat(client.sent).hasSize(1);
        assertThat(permits.ranks).containsExactly(1, -1);
        permits.last.accept(new Permit(true, 0));
        assertThat(client.sent).isEqualTo(permits.asked);
    }

    @Test
    void replacementOfASilentAttemptNeedsAPermit() {
        start(RouteKind.IDEMPOTENT, null);
        permits.last.accept(new Permit(true, 0));
        advance(600);
        assertThat(permits.asked).hasSize(2);
        assertThat(client.sent).hasSize(1);
        permits.last.accept(new Permit(true, 0));
        assertThat(client.sent).isEqualTo(permits.asked);
    }

    @Test
    void silentAttemptStaysOpenWhenItsReplacementGetsNoPermit() {
        start(RouteKind.IDEMPOTENT, null);
        permits.last.accept(new Permit(true, 0));
        advance(600);
        permits.last.accept(Permit.denied(1_000));
        client.last().head(plainHead(200));
        client.last().body(new byte[] {1});
        client.last().end();
        assertThat(response.errorCode).isNull();
        assertThat(client.sent).hasSize(1);
        assertThat(client.cancelled).isZero();
    }
}
