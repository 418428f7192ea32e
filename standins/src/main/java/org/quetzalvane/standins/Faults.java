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
 * <p>The value 0 turns a fault off. A counting fault applies to as many requests as its value says, and each of them
 * decrements the value, see {@link #consume}. Faults do not apply to requests below {@code /control}. Thread-safe.
 */
final class Faults {
    /** The connection of every request is closed without a response. */
    static final String DOWN = "down";

    /**
     * Delay in milliseconds of each successful response of the log, the host list and the service, of each token of an
     * engine and of each load of the store.
     */
    static final String SLOW_MILLIS = "slow_ms";

    /** Counting: the request takes effect, but the connection is closed without a response. */
    static final String LOSE_RESPONSES = "lose_answers";

    /** Counting: the request is accepted, has no effect and never gets a response. */
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

    /**
     * Closes the connection if {@link #DOWN} is active, or leaves the request without a response if {@link #SILENT} is
     * consumed; returns true in both cases.
     */
    boolean dropOnFault(HttpExchange exchange) {
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
