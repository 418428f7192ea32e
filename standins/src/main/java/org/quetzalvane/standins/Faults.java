package org.quetzalvane.standins;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import com.fasterxml.jackson.databind.JsonNode;
import org.quetzalvane.adapters.http.HttpExchange;
import org.quetzalvane.adapters.http.JettyHttpServer;
import org.quetzalvane.adapters.http.Json;

/**
 * Switches by which a stand-in is told to fail, set over {@code POST /control/fault {"name":..,"value":..}}.
 *
 * <p>A value is a number; 0 is off. Counting faults are used up by {@link #take}. Thread-safe.
 */
final class Faults {
    /** Every request is cut off without an answer. */
    static final String DOWN = "down";

    /** Every answer is delayed by this many milliseconds. */
    static final String SLOW_MILLIS = "slow_ms";

    /** So many actions take effect but their answers are lost. */
    static final String LOSE_ANSWERS = "lose_answers";

    /** So many requests are accepted and never answered. */
    static final String SILENT = "silent";

    private final Map<String, Long> values = new ConcurrentHashMap<>();

    JettyHttpServer.Builder routes(JettyHttpServer.Builder b) {
        return b.route("POST", "/control/fault", this::set);
    }

    boolean on(String name) {
        return value(name) != 0;
    }

    long value(String name) {
        return values.getOrDefault(name, 0L);
    }

    /** Uses up one of a counting fault; false when none is left. */
    boolean take(String name) {
        boolean[] taken = {false};
        values.computeIfPresent(name, (k, v) -> {
            taken[0] = v > 0;
            return Math.max(0, v - 1);
        });
        return taken[0];
    }

    /** Whether the request is to be dropped before it has any effect. */
    boolean dropped(HttpExchange e) {
        if (on(DOWN)) {
            e.abort();
            return true;
        }
        return take(SILENT);
    }

    private void set(HttpExchange e) {
        e.body().thenAccept(body -> {
            JsonNode n = Json.parse(body);
            values.put(n.path("name").asText(), n.path("value").asLong());
            e.respond(200, n);
        });
    }
}
