package org.quetzalvane.standins;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.quetzalvane.adapters.http.HttpExchange;
import org.quetzalvane.adapters.http.JettyHttpServer;
import org.quetzalvane.adapters.http.Json;
import org.quetzalvane.core.time.Scheduler;

/**
 * Stand-in for the platform's host list.
 *
 * <p>{@code POST /control/host {"host":..,"state":"live|leaving|gone"}} changes the state of a host, after the
 * milliseconds set as the fault {@code lag_ms}. Thread-safe.
 */
final class HostListStandIn {
    private static final String LAG_MILLIS = "lag_ms";
    private static final String STATE_GONE = "gone";

    private final Scheduler scheduler;
    private final Faults faults = new Faults();
    private final Map<String, String> states = new ConcurrentSkipListMap<>();

    HostListStandIn(Scheduler scheduler) {
        this.scheduler = scheduler;
    }

    JettyHttpServer.Builder routes(JettyHttpServer.Builder b) {
        return faults.routes(b).route("POST", "/control/host", this::set).route("GET", "/hosts", this::list);
    }

    private void set(HttpExchange exchange) {
        exchange.body().thenAccept(body -> {
            JsonNode n = Json.parse(body);
            Duration lag = Duration.ofMillis(faults.value(LAG_MILLIS));
            scheduler.schedule(
                    lag,
                    () -> applyState(n.path("host").asText(), n.path("state").asText()));
            exchange.respond(200, n);
        });
    }

    private void applyState(String host, String state) {
        if (state.equals(STATE_GONE)) {
            states.remove(host);
        } else {
            states.put(host, state);
        }
    }

    private void list(HttpExchange exchange) {
        if (faults.dropOnFault(exchange)) {
            return;
        }
        ObjectNode response = Json.object();
        ArrayNode hosts = response.putArray("hosts");
        states.forEach((host, state) -> hosts.addObject().put("host", host).put("state", state));
        Duration delay = Duration.ofMillis(faults.value(Faults.SLOW_MILLIS));
        scheduler.schedule(delay, () -> exchange.respond(200, response));
    }
}
