package org.quetzalvane.cli;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletionException;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.quetzalvane.adapters.http.Json;
import org.quetzalvane.adapters.platform.HttpLogPort;
import org.quetzalvane.core.ResultCode;
import org.quetzalvane.core.config.RecordCodec;
import org.quetzalvane.core.time.SystemScheduler;

/**
 * Publishes configuration records, one JSON object per line, and waits until every node reports them in force.
 *
 * <p>A record without an id gets a new one. The record is read back from the log after its append. An unconfirmed
 * append is retried with the same id, so that nodes apply the record at most once. A node confirms a record once its
 * applied offset has reached the offset of the record, which is known when one node reports the outcome. Not
 * thread-safe.
 */
@Parameters(commandDescription = "Publish configuration records and wait until they are in force")
final class PublishCommand extends CommonOptions {
    private static final String STREAM = "config";
    private static final int MAX_APPENDS = 5;
    private static final Duration POLL_INTERVAL = Duration.ofMillis(100);

    @Parameter(description = "FILE (- for standard input)", required = true)
    private String file;

    @Parameter(names = "--log", description = "Base URL of the log service", required = true)
    private String log;

    @Parameter(names = "--nodes", description = "Operator addresses of the nodes, ip:port, separated by commas")
    private List<String> nodes = new ArrayList<>();

    @Parameter(names = "--wait-seconds", description = "Seconds to wait until all nodes report a record in force")
    private int waitSeconds = 30;

    @Override
    public int run() throws Exception {
        try (NodeClient client = new NodeClient(nodes);
                SystemScheduler scheduler = new SystemScheduler(1)) {
            HttpLogPort port = new HttpLogPort(client.httpClient(), log);
            boolean allAccepted = true;
            for (String line : lines()) {
                ObjectNode record = (ObjectNode) Json.parse(line.getBytes(StandardCharsets.UTF_8));
                allAccepted &= publish(port, client, scheduler, record);
            }
            return allAccepted ? 0 : 1;
        }
    }

    private boolean publish(HttpLogPort port, NodeClient client, SystemScheduler scheduler, ObjectNode record)
            throws InterruptedException {
        if (!record.has("id")) {
            record.put("id", UUID.randomUUID().toString());
        }
        byte[] data = Json.bytes(record);
        RecordCodec.decode(data);
        boolean appended = append(port, data);
        String id = record.path("id").asText();
        long deadlineNanos =
                scheduler.nanoTime() + Duration.ofSeconds(waitSeconds).toNanos();
        Confirmation confirmation = Confirmation.of(client.getFromAll("/outcome?id=" + id));
        while (!confirmation.complete() && scheduler.nanoTime() - deadlineNanos < 0) {
            waitForPollInterval(scheduler);
            confirmation = Confirmation.of(client.getFromAll("/outcome?id=" + id));
        }
        print(record, confirmation);
        return confirmation.accepted() && (appended || confirmation.outcome().isPresent());
    }

    /**
     * Appends the record until it is read back. Returns false when no append was confirmed; only the nodes can then
     * report the outcome.
     */
    private static boolean append(HttpLogPort port, byte[] data) {
        for (int i = 0; i < MAX_APPENDS; i++) {
            try {
                long offset = port.append(STREAM, data).join();
                if (isOnLog(port, offset, data)) {
                    return true;
                }
            } catch (CompletionException e) {
                System.err.println("append not confirmed: " + e.getMessage());
            }
        }
        return false;
    }

    private static boolean isOnLog(HttpLogPort port, long offset, byte[] data) {
        return port.read(STREAM, offset, 1).join().records().stream()
                .anyMatch(r -> r.offset() == offset && Arrays.equals(r.data(), data));
    }

    private static void waitForPollInterval(SystemScheduler scheduler) throws InterruptedException {
        java.util.concurrent.CountDownLatch latch = new java.util.concurrent.CountDownLatch(1);
        scheduler.schedule(POLL_INTERVAL, latch::countDown);
        latch.await();
    }

    private void print(ObjectNode record, Confirmation confirmation) {
        if (json()) {
            System.out.println(
                    Json.text(confirmation.toJson().put("id", record.path("id").asText())));
            return;
        }
        String label = record.path(record.has("kind") ? "kind" : "type").asText() + "/"
                + record.path("name").asText();
        System.out.println(label + ": " + confirmation);
    }

    private List<String> lines() throws IOException {
        byte[] bytes = file.equals("-") ? System.in.readAllBytes() : Files.readAllBytes(Path.of(file));
        return new String(bytes, StandardCharsets.UTF_8)
                .lines()
                .filter(l -> !l.isBlank() && !l.startsWith("#"))
                .toList();
    }

    /** What the nodes report about one record. Immutable. */
    private record Confirmation(int confirmed, int nodeCount, Optional<JsonNode> outcome) {

        static Confirmation of(java.util.Map<String, Optional<JsonNode>> responses) {
            List<JsonNode> all =
                    responses.values().stream().flatMap(Optional::stream).toList();
            Optional<JsonNode> outcome =
                    all.stream().filter(a -> a.path("known").asBoolean()).findFirst();
            long offset = outcome.map(o -> o.path("offset").asLong()).orElse(Long.MAX_VALUE);
            long applied = all.stream()
                    .filter(a -> a.path("applied").asLong(-1) >= offset)
                    .count();
            return new Confirmation((int) applied, responses.size(), outcome);
        }

        boolean complete() {
            return confirmed == nodeCount;
        }

        boolean accepted() {
            int code = outcome.map(o -> o.path("code").asInt()).orElse(ResultCode.RECORD_ACCEPTED.number());
            return complete() && code == ResultCode.RECORD_ACCEPTED.number();
        }

        ObjectNode toJson() {
            ObjectNode n = Json.object()
                    .put("known", confirmed)
                    .put("asked", nodeCount)
                    .put("accepted", accepted());
            outcome.ifPresent(o -> n.set("outcome", o));
            return n;
        }

        @Override
        public String toString() {
            String where = confirmed + " of " + nodeCount + " nodes";
            if (outcome.isEmpty()) {
                return nodeCount == 0 ? "appended" : "no outcome reported, applied by " + where;
            }
            JsonNode o = outcome.get();
            return accepted()
                    ? "in force on " + where + ", revision "
                            + o.path("revision").asLong()
                    : o.path("code").asInt() + " " + o.path("name").asText() + " "
                            + o.path("message").asText() + ", revision "
                            + o.path("revision").asLong() + " (" + where + ")";
        }
    }
}
