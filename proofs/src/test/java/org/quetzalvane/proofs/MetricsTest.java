package org.quetzalvane.proofs;

import java.io.IOException;
import java.nio.file.Files;
import java.time.Duration;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.quetzalvane.core.ResultCode;
import org.quetzalvane.standins.harness.LocalCluster;
import org.quetzalvane.standins.harness.Polling;

import static org.assertj.core.api.Assertions.assertThat;

/** Metrics and log lines of a node process. */
class MetricsTest {
    private static final String TOKEN = "t";
    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    private static LocalCluster cluster;

    @BeforeAll
    static void serveOneRequest() throws IOException {
        cluster = LocalCluster.builder().nodes(1).engines(1).start();
        cluster.publishEndpointsAndAdapters(TOKEN, "a");
        assertThat(cluster.caller(TOKEN).complete("a", 1, "hello", 5).isComplete())
                .isTrue();
    }

    @AfterAll
    static void stop() {
        cluster.close();
    }

    private static JsonNode metrics() {
        return cluster.get("http://" + cluster.operatorAddress("n1") + "/metrics");
    }

    private static double metricValue(String name) {
        JsonNode m = metrics();
        JsonNode gauge = m.path("gauges").path(name).path("value");
        return gauge.isMissingNode()
                ? m.path("counters").path(name).path("count").asDouble(-1)
                : gauge.asDouble(-1);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "requests.done",
                "event.5004",
                "batch.efficiency",
                "control.platform.sent.bytes",
                "control.platform.received.bytes",
                "control.cpu.timer.nanos",
                "control.cpu.platform.nanos",
                "control.objects",
                "control.members",
                "control.heap.estimate.bytes",
                "engines.owned",
                "lease.valid",
                "jvm.memory.heap.used"
            })
    void isPositiveAfterOneRequest(String name) {
        Polling.waitUntil(name, TIMEOUT, () -> metricValue(name) > 0);
    }

    @ParameterizedTest
    @ValueSource(strings = {"log.lag.config", "log.lag.ownership", "log.down", "control.peer.sent.bytes"})
    void isZeroOnSingleUpToDateNode(String name) {
        Polling.waitUntil(name, TIMEOUT, () -> metricValue(name) == 0);
    }

    @Test
    void countsErrorResponsesByCode() {
        assertThat(cluster.caller("wrong").resolve("a", 1).code()).isEqualTo(ResultCode.UNAUTHENTICATED.number());
        Polling.waitUntil(
                "the error response is counted",
                TIMEOUT,
                () -> metricValue("answered." + ResultCode.UNAUTHENTICATED.number()) > 0);
    }

    @Test
    void histogramsCountTheRequest() {
        JsonNode h = metrics().path("histograms");
        assertThat(h.path("queue.millis").path("count").asInt()).isEqualTo(1);
        assertThat(h.path("load.stall.millis").path("count").asInt()).isEqualTo(1);
        assertThat(h.path("load.millis").path("count").asInt()).isEqualTo(1);
    }

    @Test
    void everyOutputLineIsAStructuredLogLine() throws IOException {
        List<String> lines = Files.readAllLines(cluster.directory().resolve("n1.log"));
        assertThat(lines).anyMatch(l -> l.contains("event=1001 name=NODE_STARTED node=n1"));
        assertThat(lines).allMatch(l -> l.matches("time=\\S+ level=[A-Z]+ logger=\\S+ .*"));
    }
}
