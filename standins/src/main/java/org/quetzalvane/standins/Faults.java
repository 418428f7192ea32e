package org.quetzalvane.standins;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import com.fasterxml.jackson.databind.JsonNode;
import org.quetzalvane.adapters.http.HttpExchange;
import org.quetzalvane.adapters.http.JettyHttpServer;
import org.quetzalvane.adapters.http.Json;

/**
 * Faults injected into a stand-in, set by {@code POST /control/fault {"name":..,"value":..}}.
 *
 * <p>A value is a number; 0 turns the fault off. A counting fault is consumed by {@link #consume}. Thread-safe.
 */
final class Faults {
    /** Every connection is closed without a response. */
    static final String DOWN = "down";

    /** Every response is delayed by this many milliseconds. */
    static final String SLOW_MILLIS = "slow_ms";

    /** This many requests take effect but their responses are lost. */
    static final String LOSE_RESPONSES = "lose_answers";

    /** This many requests are accepted and never get a response. */
    static final String SILENT = "silent";

    private final Map<String, Long> values = new ConcurrentHashMap<>();

    JettyHttpServer.Builder routes(JettyHttpServer.Builder b) {
        return b.route("POST", "/control/fault", this::set);
    }

    boolean isActive(String name) {
        return value(name) != 0;
    }

    long value(String name) {
        return values.getOrDefault(name, 0L);
    }

    /** Consumes one occurrence of a counting fault; returns false if none is left. */
    boolean consume(String name) {
        boolean[] taken = {false};
        values.computeIfPresent(name, (k, v) -> {
            taken[0] = v > 0;
            return Math.max(0, v - 1);
        });
        return taken[0];
    }

    /** Drops the request before it takes effect, if a fault says so; returns whether it was dropped. */
    boolean dropIfFaulty(HttpExchange exchange) {
        if (isActive(DOWN)) {
            exchange.abort();
            return true;
        }
        return consume(SILENT);
    }

    private void set(HttpExchange exchange) {
        exchange.body().thenAccept(body -> {
            JsonNode n = Json.parse(body);
            values.put(n.path("name").asText(), n.path("value").asLong());
            exchange.respond(200, n);
        });
    }
}
