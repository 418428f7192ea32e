package org.quetzalvane.core.serve;

import java.util.Map;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.quetzalvane.core.ResultCode;
import org.quetzalvane.core.routes.RouteKind;

import static org.assertj.core.api.Assertions.assertThat;

/** Software version of resumed streams, on a manual clock; engine-1 and engine-2 have v1 unless a test changes them. */
class StreamVersionTest extends RequestFlowFixture {
    private static final String EVENT = "id: 1\ndata: a\n\n";

    private void setVersion(String engine, String softwareVersion) {
        endpoints.entryRemoved(engine);
        endpoints.apply(endpoint(engine, "engines", softwareVersion, Map.of("m", Map.of("a1", 1))));
    }

    private void replaceEngine(int n, String softwareVersion) {
        endpoints.entryRemoved("engine-" + n);
        endpoints.apply(endpoint("engine-" + n + "b", "engines", softwareVersion, Map.of("m", Map.of("a1", 1))));
    }

    /** Only events fix the version: before the first one an engine of another version may take over. */
    @ParameterizedTest
    @CsvSource({"'', true", "'id: 1\ndata: a\n\n', false", "'id: 1\nda', true"})
    void retryAtAnotherVersionIsAllowedOnlyBeforeTheFirstEvent(String body, boolean allowed) {
        setVersion("engine-2", "v2");
        start(RouteKind.STREAMING, RESIDENT_ADAPTER);
        client.last().head(head(200, false));
        if (!body.isEmpty()) {
            client.last().body(body.getBytes());
        }
        client.last().failed(false, "reset");
        assertThat(client.sent).hasSize(allowed ? 2 : 1);
        assertThat(response.aborted).isNotEqualTo(allowed);
    }

    /** A stalled attempt must not be given up for an engine that cannot continue the stream. */
    @ParameterizedTest
    @CsvSource({"v1, 1", "v2, 0"})
    void stalledStreamIsGivenUpOnlyForAnEngineOfItsVersion(String versionOfOther, int cancelled) {
        setVersion("engine-2", versionOfOther);
        start(RouteKind.STREAMING, RESIDENT_ADAPTER);
        client.last().head(head(200, false));
        client.last().body(EVENT.getBytes());
        advance(1_500);
        assertThat(client.cancelled).isEqualTo(cancelled);
        assertThat(client.sent).hasSize(1 + cancelled);
    }

    @ParameterizedTest
    @CsvSource({"v1, engine-1", "v2, engine-2"})
    void streamOfACallerGoesOnAtTheVersionThatBeganIt(String version, String engine) {
        setVersion("engine-2", "v2");
        origins.known.put("began", version);
        start(RouteKind.STREAMING, RESIDENT_ADAPTER, "1", "began");
        assertThat(client.sent).containsExactly(engine);
    }

    @ParameterizedTest
    @CsvSource({"v1, engine-1", "v2, engine-2"})
    void streamThatNoNodeKnowsGoesOnAtItsArchivedVersion(String version, String engine) {
        setVersion("engine-2", "v2");
        origins.archived.put("began", version);
        start(RouteKind.STREAMING, RESIDENT_ADAPTER, "1", "began");
        assertThat(client.sent).containsExactly(engine);
    }

    /**
     * The only version at the arrival of the request stays required when another one appears before a retry, which then
     * goes to a leaving engine of that version.
     */
    @Test
    void streamOfUnknownOriginStaysAtTheOnlyVersionThatServedWhenItArrived() {
        start(RouteKind.STREAMING, RESIDENT_ADAPTER, "1", "never-seen");
        client.last().head(head(200, false));
        replaceEngine(1, "v2");
        replaceEngine(2, "v2");
        client.last().failed(false, "reset");
        assertThat(client.sent).containsExactlyInAnyOrder("engine-1", "engine-2");
    }

    @ParameterizedTest
    @CsvSource({"began, v3", "never-seen, v1"})
    void streamThatNoEndpointMayContinueIsRefusedAtOnceAsNotRun(String resumes, String known) {
        setVersion("engine-2", "v2");
        origins.known.put("began", known);
        start(RouteKind.STREAMING, RESIDENT_ADAPTER, "1", resumes);
        assertThat(client.sent).isEmpty();
        assertThat(response.errorCode).isEqualTo(ResultCode.STREAM_NOT_RESUMABLE);
        assertThat(response.errorCode.provesNotRun()).isTrue();
        assertThat(response.retryAfterMs).isPositive();
    }

    @Test
    void requestThatEndsDuringTheLookupIsNotSent() {
        origins.held = true;
        RequestFlow flow = start(RouteKind.STREAMING, RESIDENT_ADAPTER, "1", "began");
        flow.callerDisconnected();
        origins.pending.forEach(Runnable::run);
        assertThat(client.sent).isEmpty();
        assertThat(response.errorCode).isNull();
    }

    @Test
    void versionOfACallersStreamIsRecordedAtItsFirstEvent() {
        start(RouteKind.STREAMING, RESIDENT_ADAPTER);
        client.last().head(head(200, false));
        assertThat(origins.known).isEmpty();
        client.last().body(EVENT.getBytes());
        assertThat(origins.known).containsOnly(Map.entry("id", "v1"));
    }
}
