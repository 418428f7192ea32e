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

/**
 * {@link EnginePort} over HTTP: orders and reports are JSON, completions are server-sent events.
 *
 * <p>The future of an order fails with {@link ResultCode#FENCED} on HTTP status 409, with
 * {@link ResultCode#LOAD_REFUSED} on any other error status of a load, unload or fence, and with
 * {@link ResultCode#MALFORMED_REQUEST} if the body of the error is not a JSON object. The future of a report fails with
 * {@link ResultCode#ENDPOINT_FAILED} on an error status and with {@link ResultCode#MALFORMED_REQUEST} if the report is
 * not a JSON object. Both fail with {@link ResultCode#ENDPOINT_UNREACHABLE} or {@link ResultCode#OUTCOME_UNKNOWN} if
 * there is no response. Thread-safe.
 */
public final class HttpEnginePort implements EnginePort {
    private static final String FENCING_HEADER = "Fencing-Number";
    private static final Duration ORDER_TIMEOUT = Duration.ofSeconds(10);
    private static final Duration REPORT_AND_CANCEL_TIMEOUT = Duration.ofSeconds(2);
    private static final int HTTP_CONFLICT = 409;

    private final BufferingHttpClient httpClient;

    public HttpEnginePort(BufferingHttpClient httpClient) {
        this.httpClient = httpClient;
    }

    @Override
    public CompletableFuture<Void> load(Engine engine, AdapterVersion version, String weights, long fencingToken) {
        return order(engine, "/v1/adapters/load", versionBody(version).put("weights", weights), fencingToken);
    }

    @Override
    public CompletableFuture<Void> unload(Engine engine, AdapterVersion version, long fencingToken) {
        return order(engine, "/v1/adapters/unload", versionBody(version), fencingToken);
    }

    @Override
    public CompletableFuture<Void> fence(Engine engine, long fencingToken) {
        return order(engine, "/v1/fence", Json.object(), fencingToken);
    }

    @Override
    public CompletableFuture<EngineReport> report(Engine engine) {
        return httpClient
                .get(engine.url() + "/v1/report", REPORT_AND_CANCEL_TIMEOUT)
                .thenApply(HttpEnginePort::toReport);
    }

    @Override
    public Cancellation run(Engine engine, AttemptRequest request, AttemptListener listener) {
        ObjectNode body = versionBody(request.version())
                .put("attempt", request.attemptId())
                .put("prompt", request.prompt())
                .put("max_tokens", request.maxTokens())
                .put("priority", request.priority())
                .put("resume_from", request.resumeFrom());
        String url = engine.url() + "/v1/completions";
        Request httpRequest = httpClient.request("POST", url, Map.of(), Json.bytes(body));
        httpRequest.send(new CompletionReader(request, listener));
        return () -> cancel(engine, request, httpRequest);
    }

    private void cancel(Engine engine, AttemptRequest request, Request httpRequest) {
        httpRequest.abort(new java.io.IOException("cancelled"));
        String url = engine.url() + "/v1/completions/" + request.attemptId();
        httpClient.call("DELETE", url, Map.of(), null, REPORT_AND_CANCEL_TIMEOUT);
    }

    private CompletableFuture<Void> order(Engine engine, String path, ObjectNode body, long fencingToken) {
        Map<String, String> headers = Map.of(FENCING_HEADER, Long.toString(fencingToken));
        return httpClient
                .call("POST", engine.url() + path, headers, Json.bytes(body), ORDER_TIMEOUT)
                .handle((response, failure) -> {
                    if (failure != null) {
                        throw new CompletionException(toEndpointException(failure));
                    }
                    requireAccepted(response);
                    return null;
                });
    }

    private static EndpointException toEndpointException(Throwable failure) {
        ResultCode code = QuetzalvaneException.codeOf(failure);
        return new EndpointException(code, failure.getMessage(), code == ResultCode.ENDPOINT_UNREACHABLE);
    }

    private static void requireAccepted(BufferingHttpClient.Response response) {
        if (response.isOk()) {
            return;
        }
        // An engine that returns an error status for an order has not carried it out.
        String message = Json.parse(response.body()).path("message").asText();
        ResultCode code = response.status() == HTTP_CONFLICT ? ResultCode.FENCED : ResultCode.LOAD_REFUSED;
        throw new EndpointException(code, message, true);
    }

    private static ObjectNode versionBody(AdapterVersion v) {
        return Json.object().put("adapter", v.adapter()).put("version", v.version());
    }

    private static EngineReport toReport(BufferingHttpClient.Response response) {
        if (!response.isOk()) {
            throw new EndpointException(
                    ResultCode.ENDPOINT_FAILED, "engine report returned HTTP status " + response.status(), false);
        }
        JsonNode node = Json.parse(response.body());
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
