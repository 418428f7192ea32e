package org.quetzalvane.cli;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import org.quetzalvane.adapters.http.BufferingHttpClient;
import org.quetzalvane.adapters.http.Json;
import org.quetzalvane.core.exc.QuetzalvaneException;

/** Reads from the operators' ports of nodes. Thread-safe. */
final class NodeClient implements AutoCloseable {
    private static final Duration TIMEOUT = Duration.ofSeconds(3);

    private final BufferingHttpClient calls = BufferingHttpClient.start();
    private final List<String> nodes;

    NodeClient(List<String> nodes) {
        this.nodes = nodes;
    }

    BufferingHttpClient calls() {
        return calls;
    }

    /** Asks every node; an unreachable one answers empty. */
    Map<String, Optional<JsonNode>> askAll(String path) {
        Map<String, Optional<JsonNode>> answers = new LinkedHashMap<>();
        for (String node : nodes) {
            answers.put(node, ask(node, path));
        }
        return answers;
    }

    private Optional<JsonNode> ask(String node, String path) {
        try {
            return Optional.of(Json.parse(
                    calls.get("http://" + node + path, TIMEOUT).join().body()));
        } catch (java.util.concurrent.CompletionException | QuetzalvaneException e) {
            return Optional.empty();
        }
    }

    @Override
    public void close() throws java.io.IOException {
        calls.close();
    }
}
