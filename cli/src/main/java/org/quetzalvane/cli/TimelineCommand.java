package org.quetzalvane.cli;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.JsonNode;
import org.quetzalvane.adapters.http.Json;

/**
 * Merges the events of several nodes into one timeline, ordered by hybrid logical time. Fails when a node is
 * unreachable. Not thread-safe.
 */
@Parameters(commandDescription = "Show the events of several nodes as one timeline")
final class TimelineCommand extends CommonOptions {
    private static final int COUNTER_BITS = 16;

    @Parameter(
            names = "--nodes",
            description = "Operator addresses of the nodes, ip:port, separated by commas",
            required = true)
    private List<String> nodes;

    @Parameter(
            names = "--subject",
            description = "Show only the events of this request, engine, adapter, node, stream or configuration object")
    private String subject;

    @Override
    public int run() throws Exception {
        String path = subject == null
                ? "/timeline"
                : "/timeline?subject=" + java.net.URLEncoder.encode(subject, java.nio.charset.StandardCharsets.UTF_8);
        List<JsonNode> events = new ArrayList<>();
        boolean allReachable = true;
        try (NodeClient client = new NodeClient(nodes)) {
            for (Map.Entry<String, Optional<JsonNode>> e :
                    client.getFromAll(path).entrySet()) {
                if (e.getValue().isEmpty()) {
                    System.err.println(e.getKey() + " unreachable");
                    allReachable = false;
                } else {
                    e.getValue().get().path("events").forEach(events::add);
                }
            }
        }
        events.sort(Comparator.<JsonNode>comparingLong(e -> e.path("time").asLong())
                .thenComparing(e -> e.path("node").asText()));
        events.forEach(this::print);
        return allReachable ? 0 : 1;
    }

    private void print(JsonNode e) {
        if (json()) {
            System.out.println(Json.text(e));
            return;
        }
        Instant time = Instant.ofEpochMilli(e.path("time").asLong() >>> COUNTER_BITS);
        System.out.printf(
                "%s %-6s %d %-20s %s %s%n",
                time,
                e.path("node").asText(),
                e.path("code").asInt(),
                e.path("name").asText(),
                e.path("subject").asText(),
                e.path("detail").asText());
    }
}
