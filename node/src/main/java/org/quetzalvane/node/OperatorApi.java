package org.quetzalvane.node;

import java.io.IOException;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.json.MetricsModule;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.quetzalvane.adapters.http.HttpExchange;
import org.quetzalvane.adapters.http.JettyHttpServer;
import org.quetzalvane.adapters.http.Json;
import org.quetzalvane.core.config.RecordOutcome;
import org.quetzalvane.core.event.Event;
import org.quetzalvane.core.load.EngineDispatcher;
import org.quetzalvane.core.node.Coordinator;

/** HTTP API for operators: health, readiness, status, outcomes of records, timeline and metrics. Thread-safe. */
final class OperatorApi {
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int UNAVAILABLE = 503;
    private static final ObjectMapper METRICS =
            new ObjectMapper().registerModule(new MetricsModule(TimeUnit.SECONDS, TimeUnit.MILLISECONDS, false));

    private final Coordinator node;
    private final MetricRegistry metrics;

    OperatorApi(Coordinator node, MetricRegistry metrics) {
        this.node = node;
        this.metrics = metrics;
    }

    JettyHttpServer.Builder routes(JettyHttpServer.Builder b) {
        return b.route("GET", "/health", e -> e.respond(OK, Json.object().put("healthy", true)))
                .route("GET", "/ready", this::ready)
                .route("GET", "/status", e -> e.respond(OK, status()))
                .route("GET", "/outcome", this::outcome)
                .route("GET", "/timeline", this::timeline)
                .route("GET", "/metrics", this::metrics);
    }

    private void ready(HttpExchange e) {
        e.respond(node.ready() ? OK : UNAVAILABLE, Json.object().put("ready", node.ready()));
    }

    private ObjectNode status() {
        ObjectNode status = Json.object();
        status.put("node", node.context().self().node());
        status.put("incarnation", node.context().self().incarnation());
        status.put("ready", node.ready());
        status.put("draining", node.draining());
        status.put("config_offset", node.config().appliedOffset());
        status.put("config_lag", node.configLag());
        status.put("log_down", node.logDown());
        status.put("lease_valid", node.ownership().leaseValid());
        ArrayNode engines = status.putArray("engines");
        for (EngineDispatcher dispatcher : node.dispatchers().all()) {
            ObjectNode e = engines.addObject();
            e.put("engine", dispatcher.engine().name());
            e.put("load", dispatcher.requestCount());
            ArrayNode resident = e.putArray("resident");
            dispatcher.residentVersions().forEach(v -> resident.add(v.toString()));
        }
        return status;
    }

    private void outcome(HttpExchange e) {
        RecordOutcome outcome =
                node.config().outcome(e.queryParameter("id", "")).orElse(null);
        if (outcome == null) {
            long applied = node.config().appliedOffset();
            e.respond(NOT_FOUND, Json.object().put("known", false).put("applied", applied));
            return;
        }
        ObjectNode body = Json.object();
        body.put("known", true);
        body.put("applied", node.config().appliedOffset());
        body.put("offset", outcome.offset());
        body.put("code", outcome.code().number());
        body.put("name", outcome.code().name());
        body.put("revision", outcome.revision());
        body.put("message", outcome.message());
        e.respond(OK, body);
    }

    private void timeline(HttpExchange e) {
        ObjectNode body = Json.object();
        ArrayNode events = body.putArray("events");
        for (Event event : node.context().events().events(e.queryParameter("subject", null))) {
            ObjectNode entry = events.addObject();
            entry.put("time", event.time());
            entry.put("node", event.node());
            entry.put("code", event.code().number());
            entry.put("name", event.code().name());
            entry.put("subject", event.subject());
            entry.put("detail", event.detail());
        }
        e.respond(OK, body);
    }

    private void metrics(HttpExchange e) throws IOException {
        e.respond(OK, "application/json", METRICS.writeValueAsBytes(metrics));
    }
}
