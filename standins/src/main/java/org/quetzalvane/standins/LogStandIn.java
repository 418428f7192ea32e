package org.quetzalvane.standins;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.quetzalvane.adapters.http.HttpExchange;
import org.quetzalvane.adapters.http.JettyHttpServer;
import org.quetzalvane.adapters.http.Json;
import org.quetzalvane.core.time.Scheduler;

/**
 * Stand-in for the platform's log service, with append-only streams in memory.
 *
 * <p>{@code POST /streams/S} appends the body and returns its offset; {@code GET /streams/S?from=&max=} reads. The
 * fault {@code expire_before} expires all records below an offset, and {@code deny_appends} rejects appends while its
 * value is not 0. These and
 * {@code lose_answers} apply to all streams, or to one stream S if {@code .S} is appended to their names. Thread-safe.
 */
final class LogStandIn {
    private static final String STREAMS = "/streams/";
    private static final String EXPIRE_BEFORE = "expire_before";
    private static final String DENY_APPENDS = "deny_appends";

    private final Scheduler scheduler;
    private final Faults faults = new Faults();
    private final Map<String, List<byte[]>> streams = new ConcurrentHashMap<>();

    LogStandIn(Scheduler scheduler) {
        this.scheduler = scheduler;
    }

    JettyHttpServer.Builder routes(JettyHttpServer.Builder b) {
        return faults.routes(b).route("POST", STREAMS, this::append).route("GET", STREAMS, this::read);
    }

    private void append(HttpExchange exchange) {
        if (faults.dropOnFault(exchange)) {
            return;
        }
        if (faults.isActive(DENY_APPENDS) || faults.isActive(DENY_APPENDS + "." + streamName(exchange))) {
            exchange.respond(503, Json.object().put("message", "appends are denied by a fault"));
            return;
        }
        exchange.body().thenAccept(body -> {
            List<byte[]> stream = stream(exchange);
            int offset;
            synchronized (stream) {
                offset = stream.size();
                stream.add(body);
            }
            if (faults.consume(Faults.LOSE_RESPONSES)
                    || faults.consume(Faults.LOSE_RESPONSES + "." + streamName(exchange))) {
                exchange.abort();
                return;
            }
            respondAfterDelay(() -> exchange.respond(200, Json.object().put("offset", offset)));
        });
    }

    private void read(HttpExchange exchange) {
        if (faults.dropOnFault(exchange)) {
            return;
        }
        int from = Integer.parseInt(exchange.queryParameter("from", "0"));
        int max = Integer.parseInt(exchange.queryParameter("max", "1000"));
        long first = Math.max(faults.value(EXPIRE_BEFORE), faults.value(EXPIRE_BEFORE + "." + streamName(exchange)));
        if (from < first) {
            exchange.respond(410, Json.object().put("first", first));
            return;
        }
        List<byte[]> stream = stream(exchange);
        ObjectNode response = Json.object();
        ArrayNode records = response.putArray("records");
        synchronized (stream) {
            response.put("end", stream.size());
            for (int i = from; i < Math.min(stream.size(), from + max); i++) {
                records.addObject().put("offset", i).put("data", stream.get(i));
            }
        }
        respondAfterDelay(() -> exchange.respond(200, response));
    }

    private void respondAfterDelay(Runnable reply) {
        scheduler.schedule(Duration.ofMillis(faults.value(Faults.SLOW_MILLIS)), reply);
    }

    private List<byte[]> stream(HttpExchange exchange) {
        return streams.computeIfAbsent(streamName(exchange), s -> new ArrayList<>());
    }

    private static String streamName(HttpExchange exchange) {
        return exchange.path().substring(STREAMS.length());
    }
}
