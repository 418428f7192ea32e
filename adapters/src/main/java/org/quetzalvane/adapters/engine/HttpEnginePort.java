package org.quetzalvane.adapters.engine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.eclipse.jetty.client.Request;
import org.quetzalvane.adapters.http.BufferingHttpClient;
import org.quetzalvane.adapters.http.Json;
import org.quetzalvane.core.ResultCode;
import org.quetzalvane.core.exc.EndpointException;
import org.quetzalvane.core.exc.QuetzalvaneException;
import org.quetzalvane.core.model.AdapterVersion;
import org.quetzalvane.core.model.Engine;
import org.quetzalvane.core.port.AttemptListener;
import org.quetzalvane.core.port.AttemptRequest;
import org.quetzalvane.core.port.EnginePort;
import org.quetzalvane.core.port.EngineReport;

/** Engines over HTTP: orders as JSON, answers as server-sent events. Thread-safe. */
public final class HttpEnginePort implements EnginePort {
    private static final String FENCING_HEADER = "Fencing-Number";
    private static final Duration ORDER_TIMEOUT = Duration.ofSeconds(10);
    private static final Duration REPORT_TIMEOUT = Duration.ofSeconds(2);
    private static final int CONFLICT = 409;

    private final BufferingHttpClient calls;

    public HttpEnginePort(BufferingHttpClient calls) {
        this.calls = calls;
    }

    @Override
    public CompletableFuture<Void> load(Engine engine, AdapterVersion version, String weights, long fencingToken) {
        return order(engine, "/v1/adapters/load", named(version).put("weights", weights), fencingToken);
    }

    @Override
    public CompletableFuture<Void> unload(Engine engine, AdapterVersion version, long fencingToken) {
        return order(engine, "/v1/adapters/unload", named(version), fencingToken);
    }

    @Override
    public CompletableFuture<Void> fence(Engine engine, long fencingToken) {
        return order(engine, "/v1/fence", Json.object(), fencingToken);
    }

    @Override
    public CompletableFuture<EngineReport> report(Engine engine) {
        return calls.get(engine.url() + "/v1/report", REPORT_TIMEOUT).thenApply(HttpEnginePort::toReport);
    }

    @Override
    public Cancellation run(Engine engine, AttemptRequest request, AttemptListener listener) {
        ObjectNode body = named(request.version())
                .put("attempt", request.attemptId())
                .put("prompt", request.prompt())
                .put("max_tokens", request.maxTokens())
                .put("priority", request.priority())
                .put("resume_from", request.resumeFrom());
        String url = engine.url() + "/v1/completions";
        Request http = calls.request("POST", url, Map.of(), Json.bytes(body));
        http.send(new CompletionReader(request, listener));
        return () -> cancel(engine, request, http);
    }

    private void cancel(Engine engine, AttemptRequest request, Request http) {
        http.abort(new java.io.IOException("cancelled"));
        String url = engine.url() + "/v1/completions/" + request.attemptId();
        calls.call("DELETE", url, Map.of(), null, REPORT_TIMEOUT);
    }

    private CompletableFuture<Void> order(Engine engine, String path, ObjectNode body, long fencingToken) {
        Map<String, String> headers = Map.of(FENCING_HEADER, Long.toString(fencingToken));
        return calls.call("POST", engine.url() + path, headers, Json.bytes(body), ORDER_TIMEOUT)
                .handle((answer, failure) -> {
                    if (failure != null) {
                        throw new CompletionException(inDoubt(failure));
                    }
                    check(answer);
                    return null;
                });
    }

    private static EndpointException inDoubt(Throwable failure) {
        ResultCode code = QuetzalvaneException.codeOf(failure);
        return new EndpointException(code, failure.getMessage(), code == ResultCode.ENDPOINT_UNREACHABLE);
    }

    private static void check(BufferingHttpClient.Response answer) {
        if (answer.isOk()) {
            return;
        }
        String message = Json.parse(answer.body()).path("message").asText();
        ResultCode code = answer.status() == CONFLICT ? ResultCode.FENCED : ResultCode.LOAD_REFUSED;
        throw new EndpointException(code, message, true);
    }

    private static ObjectNode named(AdapterVersion v) {
        return Json.object().put("adapter", v.adapter()).put("version", v.version());
    }

    private static EngineReport toReport(BufferingHttpClient.Response answer) {
        if (!answer.isOk()) {
            throw new EndpointException(ResultCode.ENDPOINT_FAILED, "status " + answer.status(), false);
        }
        JsonNode node = Json.parse(answer.body());
        List<EngineReport.Residency> adapters = new ArrayList<>();
        for (JsonNode a : node.path("adapters")) {
            AdapterVersion v = new AdapterVersion(
                    a.path("adapter").asText(), a.path("version").asInt());
            adapters.add(new EngineReport.Residency(
                    v, a.path("loading").asBoolean(), a.path("running").asInt()));
        }
        return new EngineReport(
                node.path("instance").asText(), node.path("age_ms").asLong(), adapters);
    }
}
