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

/** Client of the operator interfaces of nodes. Thread-safe. */
final class NodeClient implements AutoCloseable {
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(3);

    private final BufferingHttpClient httpClient = BufferingHttpClient.start();
    private final List<String> nodes;

    NodeClient(List<String> nodes) {
        this.nodes = nodes;
    }

    BufferingHttpClient httpClient() {
        return httpClient;
    }

    /** Sends a GET request to every node. The result is empty for a node without a valid response. */
    Map<String, Optional<JsonNode>> getFromAll(String path) {
        Map<String, Optional<JsonNode>> responses = new LinkedHashMap<>();
        for (String node : nodes) {
            responses.put(node, get(node, path));
        }
        return responses;
    }

    private Optional<JsonNode> get(String node, String path) {
        try {
            return Optional.of(Json.parse(httpClient
                    .get("http://" + node + path, REQUEST_TIMEOUT)
                    .join()
                    .body()));
        } catch (java.util.concurrent.CompletionException | QuetzalvaneException e) {
            return Optional.empty();
        }
    }

    @Override
    public void close() throws java.io.IOException {
        httpClient.close();
    }
}
