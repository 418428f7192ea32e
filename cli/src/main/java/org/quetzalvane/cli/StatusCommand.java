package org.quetzalvane.cli;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.quetzalvane.adapters.http.Json;

/** Shows the status of nodes; fails when one cannot be reached. Not thread-safe. */
@Parameters(commandDescription = "Show the status of nodes")
final class StatusCommand extends CommonOptions {

    @Parameter(names = "--nodes", description = "Operators' addresses of the nodes, ip:port", required = true)
    private List<String> nodes = new ArrayList<>();

    @Override
    public int run() throws Exception {
        try (NodeClient client = new NodeClient(nodes)) {
            boolean ok = true;
            for (Map.Entry<String, Optional<JsonNode>> e :
                    client.askAll("/status").entrySet()) {
                ok &= e.getValue().isPresent();
                print(e.getKey(), e.getValue());
            }
            return ok ? 0 : 1;
        }
    }

    private void print(String address, Optional<JsonNode> status) {
        if (json()) {
            ObjectNode n = Json.object().put("address", address).put("reachable", status.isPresent());
            status.ifPresent(s -> n.set("status", s));
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
                + " config=" + s.path("config_offset").asLong());
        for (JsonNode e : s.path("engines")) {
            System.out.println(
                    "  " + e.path("engine").asText() + " load=" + e.path("load") + " resident=" + e.path("resident"));
        }
    }
}
