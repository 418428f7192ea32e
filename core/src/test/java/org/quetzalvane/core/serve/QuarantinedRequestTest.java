package org.quetzalvane.core.serve;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.quetzalvane.core.ResultCode;
import org.quetzalvane.core.quarantine.PromptQuarantine;
import org.quetzalvane.core.quarantine.RequestContent;
import org.quetzalvane.core.quarantine.Verdict;
import org.quetzalvane.core.residency.AdapterLoader;
import org.quetzalvane.core.routes.RouteKind;

import static org.assertj.core.api.Assertions.assertThat;

/** What a request tells the quarantine, and what it does when its prompt is condemned. */
class QuarantinedRequestTest extends RequestFlowFixture {
    private static final byte[] EVENT = "id: 1\ndata: a\n\n".getBytes();

    @Test
    void condemnedRequestIsRefusedAtOnceAsNotRun() {
        quarantine.verdict = Verdict.refuse(4_000, "test");
        start(RouteKind.STREAMING, MISSING_ADAPTER);
        assertThat(loader.engines).isEmpty();
        assertThat(client.sent).isEmpty();
        assertThat(response.errorCode).isEqualTo(ResultCode.PROMPT_QUARANTINED);
        assertThat(response.errorCode.provesNotRun()).isTrue();
        assertThat(response.retryAfterMs).isEqualTo(4_000);
    }

    @Test
    void requestThatIsCondemnedWhileItsAdapterLoadsIsRefusedAtOnce() {
        start(RouteKind.STREAMING, MISSING_ADAPTER);
        quarantine.condemn();
        assertThat(response.errorCode).isEqualTo(ResultCode.PROMPT_QUARANTINED);
        loader.complete(AdapterLoader.Outcome.RESIDENT);
        assertThat(client.sent).isEmpty();
    }

    /** An engine that has begun, or is about to, would crash; the others have shown that they do not. */
    @ParameterizedTest
    @CsvSource({"-1, true", "0, true", "900, true", "1100, false"})
    void requestThatIsCondemnedWhileItRunsIsCancelledInItsBeginning(long begunMs, boolean cancelled) {
        start(RouteKind.STREAMING, RESIDENT_ADAPTER);
        if (begunMs >= 0) {
            begin();
            advance(begunMs);
            client.last().body(EVENT);
        }
        quarantine.condemn();
        assertThat(client.cancelled).isEqualTo(cancelled ? 1 : 0);
        assertThat(response.aborted).isEqualTo(cancelled && begunMs >= 0);
        assertThat(response.errorCode).isEqualTo(cancelled && begunMs < 0 ? ResultCode.OUTCOME_UNKNOWN : null);
    }

    @Test
    void brokenOffRequestThatIsCondemnedIsNotResumed() {
        start(RouteKind.STREAMING, RESIDENT_ADAPTER);
        client.last().head(head(200, false));
        quarantine.verdict = Verdict.refuse(4_000, "test");
        client.last().failed(false, "reset");
        assertThat(client.sent).hasSize(1);
        assertThat(response.aborted).isTrue();
    }

    @Test
    void trialIsSentOnceAlsoAfterAWaitForALoad() {
        quarantine.verdict = Verdict.TRIAL;
        start(RouteKind.STREAMING, MISSING_ADAPTER);
        loader.complete(AdapterLoader.Outcome.RESIDENT);
        assertThat(client.sent).hasSize(1);
        client.last().failed(false, "reset");
        assertThat(client.sent).hasSize(1);
    }

    @ParameterizedTest
    @ValueSource(longs = {0, 80, 1_100})
    void brokenResponseIsReportedWithItsAge(long begunMs) {
        start(RouteKind.STREAMING, RESIDENT_ADAPTER);
        begin();
        advance(begunMs);
        client.last().failed(false, "reset");
        RequestContent content = content(RouteKind.STREAMING, RESIDENT_ADAPTER);
        assertThat(quarantine.told).contains("broken " + client.sent.get(0) + " " + begunMs + " " + content);
    }

    /** An engine that ended before the head of its answer was complete was not taken to have read the prompt. */
    @ParameterizedTest
    @CsvSource({"0, 0", "0, 80", "100, 80"})
    void attemptThatBreaksWithinItsHeadIsReportedWithThePartsOfItsPrompt(long waitedMs, long answeredMs) {
        start(RouteKind.STREAMING, RESIDENT_ADAPTER);
        advance(waitedMs);
        client.last().partOfHead();
        advance(answeredMs);
        client.last().failed(false, "reset");
        RequestContent content = content(RouteKind.STREAMING, RESIDENT_ADAPTER);
        assertThat(quarantine.told)
                .contains("broken " + client.sent.get(0) + " within its head " + answeredMs + " " + content);
    }

    /** An answer of an engine that is no stream begins and passes like one. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void answerOfAnEngineThatIsNoStreamIsReportedWithThePartsOfItsPrompt(boolean completes) {
        start(RouteKind.STREAMING, RESIDENT_ADAPTER);
        client.last().head(plainHead(200));
        client.last().body(EVENT);
        advance(80);
        RequestContent content = content(RouteKind.STREAMING, RESIDENT_ADAPTER);
        if (completes) {
            client.last().end();
            assertThat(quarantine.told).last().isEqualTo("past " + content);
        } else {
            client.last().failed(false, "reset");
            assertThat(quarantine.told).contains("broken " + client.sent.get(0) + " 80 " + content);
        }
    }

    /** The age of a request without a prompt is counted from its send, whatever arrived of its response. */
    @Test
    void ageOfARequestOfAPlainServiceIncludesItsWait() {
        start(RouteKind.NON_IDEMPOTENT, null);
        advance(50);
        client.last().partOfHead();
        advance(30);
        client.last().failed(false, "reset");
        RequestContent identity = content(RouteKind.NON_IDEMPOTENT, null).withoutPromptParts();
        assertThat(quarantine.told).contains("broken " + client.sent.get(0) + " 80 " + identity);
    }

    /** Nothing shows that the engine had read the prompt. */
    @Test
    void attemptThatBreaksBeforeItsHeadIsReportedWithoutThePartsOfItsPrompt() {
        start(RouteKind.STREAMING, RESIDENT_ADAPTER);
        advance(80);
        client.last().failed(false, "reset");
        RequestContent identity = content(RouteKind.STREAMING, RESIDENT_ADAPTER).withoutPromptParts();
        assertThat(quarantine.told).contains("broken " + client.sent.get(0) + " 80 " + identity);
    }

    @ParameterizedTest
    @EnumSource(
            value = RouteKind.class,
            names = {"IDEMPOTENT", "NON_IDEMPOTENT"})
    void requestOfAPlainServiceIsCheckedReportedAndCleared(RouteKind kind) {
        RequestContent identity = content(kind, null).withoutPromptParts();
        start(kind, null);
        assertThat(quarantine.told.get(0)).startsWith("check ");
        client.last().head(plainHead(200));
        client.last().body(EVENT);
        assertThat(reportsPastBeginning()).isZero();
        client.last().end();
        assertThat(quarantine.told).last().isEqualTo("past " + identity);
    }

    @Test
    void errorOfAPlainServiceClearsNothing() {
        start(RouteKind.NON_IDEMPOTENT, null);
        client.last().head(plainHead(500));
        client.last().end();
        assertThat(reportsPastBeginning()).isZero();
    }

    @ParameterizedTest
    @CsvSource({"999, 0", "1000, 1", "5000, 1"})
    void responsePastItsBeginningIsReportedOnce(long afterMs, long reports) {
        start(RouteKind.STREAMING, RESIDENT_ADAPTER);
        begin();
        for (long left = afterMs; left > 0; left -= Math.min(left, PromptQuarantine.BEGINNING_MS)) {
            advance(Math.min(left, PromptQuarantine.BEGINNING_MS));
            client.last().body(EVENT);
        }
        assertThat(reportsPastBeginning()).isEqualTo(reports);
    }

    @Test
    void shortResponseThatIsCompleteIsPastItsBeginning() {
        start(RouteKind.STREAMING, RESIDENT_ADAPTER);
        client.last().head(head(200, false));
        client.last().body(EVENT);
        client.last().end();
        assertThat(reportsPastBeginning()).isEqualTo(1);
    }

    @Test
    void refusedConnectionIsReported() {
        start(RouteKind.STREAMING, RESIDENT_ADAPTER);
        client.last().failed(true, "refused");
        assertThat(quarantine.told).contains("unreachable " + client.sent.get(0));
    }

    private void begin() {
        client.last().head(head(200, false));
        client.last().body(EVENT);
    }

    private long reportsPastBeginning() {
        return quarantine.told.stream().filter(t -> t.startsWith("past ")).count();
    }
}
