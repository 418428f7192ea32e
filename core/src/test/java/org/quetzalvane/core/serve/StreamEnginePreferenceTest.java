package org.quetzalvane.core.serve;

import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.quetzalvane.core.routes.RouteKind;

import static org.assertj.core.api.Assertions.assertThat;

/** Streams while a version joins, on a manual clock: engine-1 and engine-2 have v1, engine-3 and engine-4 v2. */
class StreamEnginePreferenceTest extends RequestFlowFixture {
    private static final int REQUESTS = 20;

    @BeforeEach
    void join() {
        servedVersions.pending.add("v2");
        for (int n = 3; n <= 4; n++) {
            endpoints.apply(endpoint("engine-" + n, "engines", "v2", Map.of("m", Map.of("a1", 1))));
        }
    }

    private String version(String engine) {
        return endpoints.find(engine).softwareVersion();
    }

    private List<String> startMany(RouteKind kind) {
        for (int i = 0; i < REQUESTS; i++) {
            start(request("id-" + i, kind, RESIDENT_ADAPTER, null, null));
            client.last().head(head(200, false));
            client.last().body("id: 1\ndata: a\n\n".getBytes());
            client.last().end();
        }
        return client.sent.stream().map(this::version).distinct().toList();
    }

    @Test
    void streamsBeginAtTheEstablishedVersion() {
        assertThat(startMany(RouteKind.STREAMING)).containsExactly("v1");
        assertThat(servedVersions.establish).isEmpty();
    }

    @Test
    void streamsBeginAtEachVersionOnceAllAreEstablished() {
        servedVersions.pending.clear();
        assertThat(startMany(RouteKind.STREAMING)).containsExactlyInAnyOrder("v1", "v2");
    }

    /** A version that joins is needed before its time if the others are full, or gone. */
    @ParameterizedTest
    @CsvSource({"2, v1, 0", "3, v1, 1"})
    void versionIsEstablishedOnceTheOthersHaveNoRoom(int requestsOfEach, String version, int asked) {
        for (int i = 0; i < requestsOfEach; i++) {
            loads.requestStarted("engine-1", 100);
            loads.requestStarted("engine-2", 100);
        }
        start(RouteKind.STREAMING, RESIDENT_ADAPTER);
        assertThat(version(client.sent.get(0))).isEqualTo(version);
        assertThat(servedVersions.establish).hasSize(asked);
    }

    @Test
    void streamsBeginAtAJoiningVersionIfNoOtherIsLeft() {
        endpoints.entryRemoved("engine-1");
        endpoints.entryRemoved("engine-2");
        start(RouteKind.STREAMING, RESIDENT_ADAPTER);
        assertThat(version(client.sent.get(0))).isEqualTo("v2");
        assertThat(servedVersions.establish).containsExactly("engines");
    }

    /** An engine without the base model can neither serve nor load the adapter. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void joiningVersionServesWhatTheEstablishedOneCannot(boolean establishedHasTheModel) {
        for (int n = 1; n <= 2; n++) {
            endpoints.entryRemoved("engine-" + n);
            Map<String, Map<String, Integer>> resident =
                    establishedHasTheModel ? Map.of("m", Map.of("a1", 1)) : Map.of();
            endpoints.apply(endpoint("engine-" + n + "b", "engines", "v1", resident));
        }
        start(RouteKind.STREAMING, RESIDENT_ADAPTER);
        assertThat(version(client.sent.get(0))).isEqualTo(establishedHasTheModel ? "v1" : "v2");
    }

    /** A stream that began at a version goes on there though it is not established. */
    @Test
    void resumedStreamStaysAtItsVersion() {
        origins.known.put("began", "v2");
        start(RouteKind.STREAMING, RESIDENT_ADAPTER, "1", "began");
        assertThat(version(client.sent.get(0))).isEqualTo("v2");
    }
}
