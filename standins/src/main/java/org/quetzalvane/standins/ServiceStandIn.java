package org.quetzalvane.standins;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.quetzalvane.adapters.http.HttpExchange;
import org.quetzalvane.adapters.http.JettyHttpServer;
import org.quetzalvane.adapters.http.Json;
import org.quetzalvane.core.time.Scheduler;

/**
 * Stand-in for a service without adapters.
 *
 * <p>{@code POST /call} returns the number of the call and its body; {@code GET /control/ran} lists all calls that were
 * run. In addition to the faults of {@link Faults}, the counting fault {@code wrong_echo} makes a call return another
 * attempt id.
 * Thread-safe.
 */
final class ServiceStandIn {
    private static final String ATTEMPT_HEADER = "Attempt-Id";
    private static final String WRONG_ECHO = "wrong_echo";

    private final Scheduler scheduler;
    private final Faults faults = new Faults();
    private final List<ObjectNode> executedCalls = new ArrayList<>();

    ServiceStandIn(Scheduler scheduler) {
        this.scheduler = scheduler;
    }

    JettyHttpServer.Builder routes(JettyHttpServer.Builder b) {
        return faults.routes(b)
                .route("POST", "/call", this::call)
                .route("GET", "/control/ran", this::listExecutedCalls);
    }

    private void call(HttpExchange exchange) {
        if (faults.dropOnFault(exchange)) {
            return;
        }
        String attempt = exchange.header(ATTEMPT_HEADER);
        exchange.body().thenAccept(body -> {
            String text = new String(body, StandardCharsets.UTF_8);
            int number;
            synchronized (this) {
                executedCalls.add(Json.object().put("attempt", attempt).put("body", text));
                number = executedCalls.size();
            }
            if (faults.consume(Faults.LOSE_RESPONSES)) {
                exchange.abort();
                return;
            }
            exchange.setResponseHeader(ATTEMPT_HEADER, faults.consume(WRONG_ECHO) ? attempt + "x" : attempt);
            Duration delay = Duration.ofMillis(faults.value(Faults.SLOW_MILLIS));
            scheduler.schedule(
                    delay,
                    () -> exchange.respond(
                            200, Json.object().put("number", number).put("echo", text)));
        });
    }

    private synchronized void listExecutedCalls(HttpExchange exchange) {
        ObjectNode response = Json.object();
        ArrayNode list = response.putArray("ran");
        executedCalls.forEach(list::add);
        exchange.respond(200, response);
    }
}
