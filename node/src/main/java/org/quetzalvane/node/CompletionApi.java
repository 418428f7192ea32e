package org.quetzalvane.node;

import com.fasterxml.jackson.databind.JsonNode;
import org.quetzalvane.adapters.http.HttpExchange;
import org.quetzalvane.adapters.http.Json;
import org.quetzalvane.core.model.AdapterVersion;
import org.quetzalvane.core.model.Caller;
import org.quetzalvane.core.node.Coordinator;
import org.quetzalvane.core.request.InferenceRequest;

/** Accepts completion requests. Thread-safe. */
final class CompletionApi {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long DEFAULT_TIMEOUT_MILLIS = 30_000;
    private static final long MAX_TIMEOUT_MILLIS = 300_000;
    private static final int DEFAULT_MAX_TOKENS = 256;
    private static final int MAX_TOKENS = 1_000_000;
    private static final int MAX_PRIORITY = 9;

    private final Coordinator node;
    private final ConfigOffsetGate configOffsetGate;
    private final RequestIds ids;

    CompletionApi(Coordinator node, ConfigOffsetGate configOffsetGate, RequestIds ids) {
        this.node = node;
        this.configOffsetGate = configOffsetGate;
        this.ids = ids;
    }

    void complete(HttpExchange e, Caller caller) {
        e.body().whenComplete((body, failure) -> {
            try {
                if (failure != null) {
                    ErrorResponses.sendFailure(e, failure);
                } else {
                    JsonNode request = Json.parse(body);
                    configOffsetGate.runAfter(
                            e, request.path(ConfigOffsetGate.FIELD).asText(""), () -> submit(e, caller, request));
                }
            } catch (RuntimeException r) {
                ErrorResponses.sendFailure(e, r);
            }
        });
    }

    private void submit(HttpExchange e, Caller caller, JsonNode body) {
        AdapterVersion v = new AdapterVersion(
                RequestFields.text(body, "adapter"),
                RequestFields.version(body.path("version").asText()));
        node.access().checkAdapter(caller, v);
        InferenceRequest request = request(caller, v, body);
        CompletionSink sink = body.path("stream").asBoolean(false)
                ? CompletionSink.streaming(e, request)
                : CompletionSink.buffered(e, request);
        sink.start(node.context().scheduler(), node.submit(request, sink));
    }

    private InferenceRequest request(Caller caller, AdapterVersion v, JsonNode body) {
        long now = node.context().scheduler().nanoTime();
        long timeout = RequestFields.wholeNumber(body, "timeout_ms", DEFAULT_TIMEOUT_MILLIS, 1, MAX_TIMEOUT_MILLIS);
        return new InferenceRequest(
                ids.next(),
                caller.name(),
                v,
                RequestFields.text(body, "prompt"),
                (int) RequestFields.wholeNumber(body, "max_tokens", DEFAULT_MAX_TOKENS, 1, MAX_TOKENS),
                (int) RequestFields.wholeNumber(body, "priority", 0, 0, MAX_PRIORITY),
                now,
                now + timeout * NANOS_PER_MILLI,
                body.path("idempotent").asBoolean(true));
    }
}
