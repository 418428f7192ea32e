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

/** What operators read from a node: health, readiness, status, time line and metrics. Thread-safe. */
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
        ObjectNode s = Json.object();
        s.put("node", node.context().self().node());
        s.put("incarnation", node.context().self().incarnation());
        s.put("ready", node.ready());
        s.put("draining", node.draining());
        s.put("config_offset", node.config().appliedOffset());
        s.put("config_lag", node.configLag());
        s.put("log_down", node.logDown());
        s.put("lease_valid", node.ownership().leaseValid());
        ArrayNode engines = s.putArray("engines");
        for (EngineDispatcher d : node.dispatchers().all()) {
            ObjectNode e = engines.addObject();
            e.put("engine", d.engine().name());
            e.put("load", d.requestCount());
            ArrayNode resident = e.putArray("resident");
            d.residentVersions().forEach(v -> resident.add(v.toString()));
        }
        return s;
    }

    private void outcome(HttpExchange e) {
        RecordOutcome o = node.config().outcome(e.queryParameter("id", "")).orElse(null);
        if (o == null) {
            long applied = node.config().appliedOffset();
            e.respond(NOT_FOUND, Json.object().put("known", false).put("applied", applied));
            return;
        }
        ObjectNode body = Json.object();
        body.put("known", true);
        body.put("applied", node.config().appliedOffset());
        body.put("offset", o.offset());
        body.put("code", o.code().number());
        body.put("name", o.code().name());
        body.put("revision", o.revision());
        body.put("message", o.message());
        e.respond(OK, body);
    }

    private void timeline(HttpExchange e) {
        ObjectNode body = Json.object();
        ArrayNode list = body.putArray("events");
        for (Event event : node.context().events().events(e.queryParameter("subject", null))) {
            ObjectNode n = list.addObject();
            n.put("time", event.time());
            n.put("node", event.node());
            n.put("code", event.code().number());
            n.put("name", event.code().name());
            n.put("subject", event.subject());
            n.put("detail", event.detail());
        }
        e.respond(OK, body);
    }

    private void metrics(HttpExchange e) throws IOException {
        e.respond(OK, "application/json", METRICS.writeValueAsBytes(metrics));
    }
}
