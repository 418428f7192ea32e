package org.quetzalvane.adapters.engine;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;

import com.fasterxml.jackson.databind.JsonNode;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.quetzalvane.adapters.http.BufferingHttpClient;
import org.quetzalvane.adapters.http.Json;
import org.quetzalvane.core.ResultCode;
import org.quetzalvane.core.exc.EndpointException;
import org.quetzalvane.core.exc.QuetzalvaneException;
import org.quetzalvane.core.model.AdapterVersion;
import org.quetzalvane.core.port.AttemptListener;
import org.quetzalvane.core.port.AttemptRequest;

/**
 * Parses the event stream of one completion and passes its events to an {@link AttemptListener}.
 *
 * <p>Invariant: the listener receives exactly one {@code end} or {@code failed}, and {@code end} only after the engine
 * sent its end mark, the {@code done} event; a cancellation before that event ends with {@code failed}. {@code started}
 * is called for each event with an attempt id, and chunks are passed on also without one. Jetty calls this class from
 * one thread at a time.
 */
final class CompletionReader implements Response.Listener {
    private static final String DATA_PREFIX = "data: ";
    private static final int MAX_LINE_OR_ERROR_BODY_BYTES = 1 << 20;

    private final AttemptRequest request;
    private final AttemptListener listener;
    private final ByteArrayOutputStream lineBuffer = new ByteArrayOutputStream();
    private final ByteArrayOutputStream errorBody = new ByteArrayOutputStream();
    private boolean finished;

    CompletionReader(AttemptRequest request, AttemptListener listener) {
        this.request = request;
        this.listener = listener;
    }

    @Override
    public void onContent(Response response, ByteBuffer content) {
        boolean ok = response.getStatus() / 100 == 2;
        while (content.hasRemaining() && !finished) {
            byte b = content.get();
            if (!ok) {
                errorBody.write(b);
            } else if (b == '\n') {
                String text = lineBuffer.toString(java.nio.charset.StandardCharsets.UTF_8);
                lineBuffer.reset();
                onLine(text);
            } else {
                lineBuffer.write(b);
            }
            if (lineBuffer.size() > MAX_LINE_OR_ERROR_BODY_BYTES || errorBody.size() > MAX_LINE_OR_ERROR_BODY_BYTES) {
                fail(new EndpointException(
                        ResultCode.ENDPOINT_FAILED,
                        "engine sent an event line or error body longer than 1 MiB",
                        false));
            }
        }
    }

    @Override
    public void onComplete(Result result) {
        if (finished) {
            return;
        }
        if (result.isFailed()) {
            QuetzalvaneException failure = BufferingHttpClient.failure(result);
            boolean notSent = failure.code() == ResultCode.ENDPOINT_UNREACHABLE;
            fail(new EndpointException(failure.code(), failure.getMessage(), notSent));
        } else if (result.getResponse().getStatus() / 100 == 2) {
            fail(new EndpointException(ResultCode.STREAM_BROKEN, "engine response ended without a done event", false));
        } else {
            failWithErrorResponse();
        }
    }

    private void failWithErrorResponse() {
        try {
            JsonNode body = Json.parse(errorBody.toByteArray());
            boolean notRun = body.path("not_run").asBoolean(false)
                    && body.path("attempt").asText().equals(request.attemptId());
            ResultCode code = notRun ? ResultCode.ENDPOINT_REJECTED : ResultCode.ENDPOINT_FAILED;
            fail(new EndpointException(code, body.path("message").asText(), notRun));
        } catch (QuetzalvaneException e) {
            fail(new EndpointException(
                    ResultCode.ENDPOINT_FAILED,
                    "engine returned an error status with a body that is not a JSON object",
                    false));
        }
    }

    private void onLine(String text) {
        if (!text.startsWith(DATA_PREFIX)) {
            return;
        }
        try {
            onEvent(Json.parse(text.substring(DATA_PREFIX.length()).getBytes(java.nio.charset.StandardCharsets.UTF_8)));
        } catch (QuetzalvaneException e) {
            fail(new EndpointException(
                    ResultCode.ENDPOINT_FAILED, "engine sent an event that is not a JSON object", false));
        }
    }

    private void onEvent(JsonNode event) {
        if (event.has("attempt")) {
            AdapterVersion v = new AdapterVersion(
                    event.path("adapter").asText(), event.path("version").asInt());
            listener.started(event.path("attempt").asText(), v);
        } else if (event.has("text")) {
            listener.part(event.path("index").asInt(), event.path("text").asText());
        } else if (event.path("done").asBoolean(false)) {
            finished = true;
            listener.end(event.path("tokens").asInt());
        } else if (event.has("error")) {
            fail(new EndpointException(
                    ResultCode.ENDPOINT_FAILED, event.path("error").asText(), false));
        }
    }

    private void fail(EndpointException failure) {
        if (!finished) {
            finished = true;
            listener.failed(failure);
        }
    }
}
