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
 * The platform's log service: append-only streams in memory.
 *
 * <p>{@code POST /streams/S} appends the body and answers its offset; {@code GET /streams/S?from=&max=} reads. The
 * fault {@code expire_before} drops all records below an offset, {@code deny_appends} refuses appends. These and
 * {@code lose_answers} hit all streams, or one stream S when they are named with {@code .S} behind. Thread-safe.
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

    private void append(HttpExchange e) {
        if (faults.dropped(e)) {
            return;
        }
        if (faults.on(DENY_APPENDS) || faults.on(DENY_APPENDS + "." + name(e))) {
            e.respond(503, Json.object().put("message", "appends are denied"));
            return;
        }
        e.body().thenAccept(body -> {
            List<byte[]> stream = stream(e);
            int offset;
            synchronized (stream) {
                offset = stream.size();
                stream.add(body);
            }
            if (faults.take(Faults.LOSE_ANSWERS) || faults.take(Faults.LOSE_ANSWERS + "." + name(e))) {
                e.abort();
                return;
            }
            later(() -> e.respond(200, Json.object().put("offset", offset)));
        });
    }

    private void read(HttpExchange e) {
        if (faults.dropped(e)) {
            return;
        }
        int from = Integer.parseInt(e.queryParameter("from", "0"));
        int max = Integer.parseInt(e.queryParameter("max", "1000"));
        long first = Math.max(faults.value(EXPIRE_BEFORE), faults.value(EXPIRE_BEFORE + "." + name(e)));
        if (from < first) {
            e.respond(410, Json.object().put("first", first));
            return;
        }
        List<byte[]> stream = stream(e);
        ObjectNode answer = Json.object();
        ArrayNode records = answer.putArray("records");
        synchronized (stream) {
            answer.put("end", stream.size());
            for (int i = from; i < Math.min(stream.size(), from + max); i++) {
                records.addObject().put("offset", i).put("data", stream.get(i));
            }
        }
        later(() -> e.respond(200, answer));
    }

    private void later(Runnable reply) {
        scheduler.schedule(Duration.ofMillis(faults.value(Faults.SLOW_MILLIS)), reply);
    }

    private List<byte[]> stream(HttpExchange e) {
        return streams.computeIfAbsent(name(e), s -> new ArrayList<>());
    }

    private static String name(HttpExchange e) {
        return e.path().substring(STREAMS.length());
    }
}
