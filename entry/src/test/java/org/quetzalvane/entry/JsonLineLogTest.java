package org.quetzalvane.entry;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.quetzalvane.core.event.EventCode;

import static org.assertj.core.api.Assertions.assertThat;

@Timeout(value = 30, unit = TimeUnit.SECONDS)
class JsonLineLogTest {
    private final ObjectMapper mapper = new ObjectMapper();

    @Test
    void eventIsWrittenAsOneLineWithItsFields() throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        JsonLineLog lines = new JsonLineLog("n1", () -> 42, out);
        lines.log(EventCode.REQUEST_REFUSED, "r\"1\n", "code", 206, "why", "no slot", "again", false);
        lines.flush();
        List<String> written = out.toString(StandardCharsets.UTF_8).lines().toList();
        assertThat(written).hasSize(1);
        JsonNode n = mapper.readTree(written.get(0));
        assertThat(n.path("at_ms").asLong()).isEqualTo(42);
        assertThat(n.path("event").asInt()).isEqualTo(EventCode.REQUEST_REFUSED.number());
        assertThat(n.path("subject").asText()).isEqualTo("r\"1\n");
        assertThat(n.path("code").asInt()).isEqualTo(206);
        assertThat(n.path("again").isBoolean()).isTrue();
    }

    @Test
    void queueIsBoundedAndDroppedLinesAreReported() throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        JsonLineLog lines = new JsonLineLog("n1", () -> 0, out);
        for (int i = 0; i < JsonLineLog.MAX_QUEUED_LINES + 500; i++) {
            lines.log(EventCode.REQUEST_REFUSED, "r" + i);
        }
        lines.flush();
        List<String> written = out.toString(StandardCharsets.UTF_8).lines().toList();
        assertThat(written).hasSize(JsonLineLog.MAX_QUEUED_LINES + 1);
        JsonNode last = mapper.readTree(written.get(JsonLineLog.MAX_QUEUED_LINES));
        assertThat(last.path("name").asText()).isEqualTo("LINES_DROPPED");
        assertThat(last.path("lines").asInt()).isEqualTo(500);
    }

    /** Guards against lines that fill the heap, since clients choose the ids and paths in them. */
    @Test
    void longTextsAreCut() throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        JsonLineLog lines = new JsonLineLog("n1", () -> 0, out);
        Object[] fields = {"code", 110, "route", "/" + "p".repeat(8_000)};
        lines.log(EventCode.REQUEST_REFUSED, "i".repeat(16_000), fields);
        lines.flush();
        JsonNode n = mapper.readTree(out.toByteArray());
        assertThat(n.path("subject").asText())
                .hasSize(JsonLineLog.MAX_TEXT_LENGTH)
                .startsWith("iii")
                .endsWith(JsonLineLog.CUT_MARK);
        assertThat(n.path("route").asText())
                .hasSize(JsonLineLog.MAX_TEXT_LENGTH)
                .startsWith("/ppp");
        assertThat(n.path("code").asInt()).isEqualTo(110);
        assertThat(fields[3]).asString().as("the caller's array").hasSize(8_001);
    }

    @Test
    void blockedOutputDoesNotBlockCallingThread() throws InterruptedException {
        CountDownLatch blocked = new CountDownLatch(1);
        CountDownLatch unblocked = new CountDownLatch(1);
        JsonLineLog lines = new JsonLineLog("n1", () -> 0, new OutputStream() {
            @Override
            public void write(int b) {
                blocked.countDown();
                try {
                    unblocked.await();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
        });
        lines.start();
        lines.log(EventCode.REQUEST_REFUSED, "first");
        blocked.await();
        for (int i = 0; i < 3 * JsonLineLog.MAX_QUEUED_LINES; i++) {
            lines.log(EventCode.REQUEST_REFUSED, "r" + i);
        }
        unblocked.countDown();
    }
}
