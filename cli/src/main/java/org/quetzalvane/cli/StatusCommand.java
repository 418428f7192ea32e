package org.quetzalvane.cli;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.quetzalvane.adapters.http.Json;

/**
 * Shows the status of nodes, and how many configuration records each is behind the newest record that any of them
 * knows. Fails when a node is unreachable. Not thread-safe.
 */
@Parameters(commandDescription = "Show the status of nodes")
final class StatusCommand extends CommonOptions {

    @Parameter(
            names = "--nodes",
            description = "Operator addresses of the nodes, ip:port, separated by commas",
            required = true)
    private List<String> nodes;

    @Override
    public int run() throws Exception {
        try (NodeClient client = new NodeClient(nodes)) {
            Map<String, Optional<JsonNode>> statusByAddress = client.getFromAll("/status");
            long newest = newestOffset(statusByAddress);
            statusByAddress.forEach((address, status) -> print(address, status, newest));
            return statusByAddress.values().stream().allMatch(Optional::isPresent) ? 0 : 1;
        }
    }

    private static long newestOffset(Map<String, Optional<JsonNode>> statusByAddress) {
        return statusByAddress.values().stream()
                .flatMap(Optional::stream)
                .mapToLong(s -> offset(s) + Math.max(0, s.path("config_lag").asLong()))
                .max()
                .orElse(-1);
    }

    private static long offset(JsonNode status) {
        return status.path("config_offset").asLong();
    }

    private void print(String address, Optional<JsonNode> status, long newest) {
        if (json()) {
            ObjectNode n = Json.object().put("address", address).put("reachable", status.isPresent());
            status.ifPresent(s -> n.put("behind", newest - offset(s)).set("status", s));
            System.out.println(Json.text(n));
            return;
        }
        if (status.isEmpty()) {
            System.out.println(address + " unreachable");
            return;
        }
        JsonNode s = status.get();
        System.out.println(s.path("node").asText() + " " + address
                + " ready=" + s.path("ready").asBoolean()
                + " lease=" + s.path("lease_valid").asBoolean()
                + " config=" + offset(s)
                + (newest > offset(s) ? " BEHIND by " + (newest - offset(s)) : ""));
        for (JsonNode e : s.path("engines")) {
            System.out.println(
                    "  " + e.path("engine").asText() + " load=" + e.path("load") + " resident=" + e.path("resident"));
        }
    }
}
