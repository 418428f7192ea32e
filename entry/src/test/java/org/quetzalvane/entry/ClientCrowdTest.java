package org.quetzalvane.entry;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.quetzalvane.entry.ClientCrowd.Kind;
import org.quetzalvane.platform.standin.CallerClient;
import org.quetzalvane.platform.standin.EndpointStandIn;
import org.quetzalvane.platform.standin.PlatformStoreStandIn;
import org.quetzalvane.platform.standin.SampleConfig;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * A node in a process of its own before clients that do not behave: it lives, stays within its memory and descriptors,
 * and ordinary callers get answers. The heap and the descriptors of the process are fewer than in production, so that a
 * small crowd suffices.
 */
@Timeout(value = 120, unit = TimeUnit.SECONDS)
class ClientCrowdTest {
    private static final int HEAP_MB = 64;
    /** What a process of 160 MB of heap may take beyond it on the smallest machine, which has 282 MB. */
    private static final int BEYOND_HEAP_MB = 282 - 160;

    private static final int CLIENTS = 400;
    private static final int MAX_DESCRIPTORS = 600;
    private static final int CONNECTIONS = 900;
    /** Together with the connections to endpoints within the descriptors. */
    private static final int READERS = 250;

    private static final int RESPONSE_BYTES = 1_000_000;
    /** Less than half of the memory for bodies. */
    private static final int LARGE_BODY_BYTES = 4_000_000;

    private static final int TRIES = 5;
    private static final Pattern RETRY_AFTER = Pattern.compile("(?i)\r\nretry-after: ([0-9.]+)\r\n");

    @TempDir
    private Path directory;

    private final PlatformStoreStandIn store = new PlatformStoreStandIn();
    private volatile String content = "ok";
    private final EndpointStandIn endpoint =
            new EndpointStandIn("plain-1", "plain", (self, x) -> self.respondComplete(x, content));
    private EntryProcess node;

    @BeforeEach
    void startNode() throws Exception {
        // The clients stay for longer than the test lasts.
        store.writeConfig(SampleConfig.withVersion(1)
                .replace("\"limits\":{}", "\"limits\":{\"header_timeout_ms\":60000,\"idle_timeout_ms\":60000}"));
        store.writeEndpoint("plain-1", endpoint.entry());
        node = new EntryProcess(
                TestSettings.of("n1", Set.of(), store.address()),
                directory,
                new EntryProcess.Limits(HEAP_MB, MAX_DESCRIPTORS));
        node.awaitReady();
        assertThat(ordinaryRequest("first")).startsWith("HTTP/1.1 200");
    }

    @AfterEach
    void close() {
        node.close();
        endpoint.close();
        store.close();
    }

    /** Guards against requests of legal size that fill the memory of a node before they are complete. */
    @ParameterizedTest
    @EnumSource(
            value = Kind.class,
            names = {"SILENT", "BEGUN_HEAD", "WHOLE"},
            mode = EnumSource.Mode.EXCLUDE)
    void nodeSurvivesClientsWhoseRequestsAreNotComplete(Kind kind) throws Exception {
        try (ClientCrowd crowd = new ClientCrowd()) {
            crowd.join(node.settings().callerAddress(), kind, CLIENTS);
            assertThat(ordinaryRequest("meanwhile")).matches("(?s)HTTP/1.1 (200|503) .*");
            assertWithinLimits();
            crowd.leaveInPart();
        }
        assertThat(ordinaryRequest("afterwards")).startsWith("HTTP/1.1 200");
        assertWithinLimits();
    }

    /** Guards against connections that take all descriptors, at each of the listeners for callers. */
    @ParameterizedTest
    @CsvSource({
        "callers, SILENT", "callers, BEGUN_HEAD",
        "directory, SILENT", "directory, BEGUN_HEAD",
        "readiness, SILENT", "readiness, BEGUN_HEAD"
    })
    void nodeSurvivesMoreConnectionsThanItHasDescriptors(String listener, Kind kind) throws Exception {
        try (ClientCrowd crowd = new ClientCrowd()) {
            crowd.join(address(listener), kind, CONNECTIONS);
            assertThat(CallerClient.readiness(node.settings().readinessAddress()))
                    .startsWith("HTTP/1.1 200");
            assertThat(ordinaryRequest("meanwhile")).matches("(?s)HTTP/1.1 (200|503) .*");
            assertWithinLimits();
            crowd.leaveInPart();
        }
        assertThat(ordinaryRequest("afterwards")).startsWith("HTTP/1.1 200");
        assertWithinLimits();
        assertThat(log()).doesNotContain("ENDPOINT_SUSPENDED");
    }

    /** Guards against responses that fill the memory of a node because their clients do not read them. */
    @Test
    void nodeSurvivesClientsThatDoNotReadTheirResponses() throws Exception {
        content = "x".repeat(RESPONSE_BYTES);
        try (ClientCrowd crowd = new ClientCrowd()) {
            crowd.join(node.settings().callerAddress(), Kind.WHOLE, READERS);
            content = "ok";
            assertThat(ordinaryRequest("meanwhile")).matches("(?s)HTTP/1.1 (200|503) .*");
            assertWithinLimits();
            crowd.leaveInPart();
        }
        assertThat(ordinaryRequest("afterwards")).startsWith("HTTP/1.1 200");
        assertWithinLimits();
    }

    /** Guards against room that is kept for bodies which do not come, while those that come are refused. */
    @Test
    void nodeServesLargeBodiesBesideClientsThatStateALengthAndStop() throws Exception {
        try (ClientCrowd crowd = new ClientCrowd()) {
            crowd.join(node.settings().callerAddress(), Kind.STATED_LENGTH, READERS);
            assertThat(largeRequest()).startsWith("HTTP/1.1 200");
            assertWithinLimits();
        }
    }

    /** Sends a request with a large body and comes back after each refusal, when the response says so. */
    private String largeRequest() throws Exception {
        String response = "";
        for (int i = 0; i < TRIES && !response.startsWith("HTTP/1.1 200"); i++) {
            byte[] request = CallerClient.requestWithBody("/once/x", "large-" + i, LARGE_BODY_BYTES);
            response = CallerClient.sendRaw(
                    node.settings().callerAddress(), new String(request, StandardCharsets.ISO_8859_1));
            Matcher retryAfter = RETRY_AFTER.matcher(response);
            if (retryAfter.find()) {
                TimeUnit.MILLISECONDS.sleep((long) (1_000 * Double.parseDouble(retryAfter.group(1))));
            }
        }
        return response;
    }

    private String address(String listener) {
        return switch (listener) {
            case "directory" -> node.settings().directoryAddress();
            case "readiness" -> node.settings().readinessAddress();
            default -> node.settings().callerAddress();
        };
    }

    private String ordinaryRequest(String id) throws IOException {
        return CallerClient.send(node.settings().callerAddress(), "POST", "/once/x", id, null);
    }

    private void assertWithinLimits() throws IOException {
        assertThat(node.alive()).as("the process runs").isTrue();
        assertThat(node.residentMb()).as("memory, MB").isLessThanOrEqualTo(HEAP_MB + BEYOND_HEAP_MB);
        assertThat(node.openDescriptors()).as("open descriptors").isLessThan(MAX_DESCRIPTORS);
        assertThat(log()).doesNotContain("OutOfMemoryError", "OutOfDirectMemoryError");
    }

    private String log() throws IOException {
        try (Stream<String> lines = Files.lines(node.output())) {
            return lines.filter(l -> l.contains("Error") || l.contains("SUSPENDED"))
                    .reduce("", (a, b) -> a + b + "\n");
        }
    }
}
