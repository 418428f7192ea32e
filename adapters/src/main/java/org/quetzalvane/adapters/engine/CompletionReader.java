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
 * Reads one streamed answer of an engine line by line.
 *
 * <p>Invariant: the listener hears {@code end} only if the explicit end mark arrived, otherwise {@code failed}, and
 * only one of them. Called by Jetty from one thread at a time.
 */
final class CompletionReader implements Response.Listener {
    private static final String DATA = "data: ";
    private static final int MAX_LINE_BYTES = 1 << 20;

    private final AttemptRequest request;
    private final AttemptListener listener;
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private final ByteArrayOutputStream error = new ByteArrayOutputStream();
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
                error.write(b);
            } else if (b == '\n') {
                String text = line.toString(java.nio.charset.StandardCharsets.UTF_8);
                line.reset();
                onLine(text);
            } else {
                line.write(b);
            }
            if (line.size() > MAX_LINE_BYTES || error.size() > MAX_LINE_BYTES) {
                fail(new EndpointException(ResultCode.ENDPOINT_FAILED, "a line is too long", false));
            }
        }
    }

    @Override
    public void onComplete(Result result) {
        if (finished) {
            return;
        }
        if (result.isFailed()) {
            QuetzalvaneException e = BufferingHttpClient.failure(result);
            boolean unsent = e.code() == ResultCode.ENDPOINT_UNREACHABLE;
            fail(new EndpointException(e.code(), e.getMessage(), unsent));
        } else if (result.getResponse().getStatus() / 100 == 2) {
            fail(new EndpointException(ResultCode.STREAM_BROKEN, "the answer ended without its end mark", false));
        } else {
            rejected();
        }
    }

    private void rejected() {
        try {
            JsonNode body = Json.parse(error.toByteArray());
            boolean notRun = body.path("not_run").asBoolean(false)
                    && body.path("attempt").asText().equals(request.attemptId());
            ResultCode code = notRun ? ResultCode.ENDPOINT_REJECTED : ResultCode.ENDPOINT_FAILED;
            fail(new EndpointException(code, body.path("message").asText(), notRun));
        } catch (QuetzalvaneException e) {
            fail(new EndpointException(ResultCode.ENDPOINT_FAILED, "the engine answered with an error", false));
        }
    }

    private void onLine(String text) {
        if (!text.startsWith(DATA)) {
            return;
        }
        try {
            onEvent(Json.parse(text.substring(DATA.length()).getBytes(java.nio.charset.StandardCharsets.UTF_8)));
        } catch (QuetzalvaneException e) {
            fail(new EndpointException(ResultCode.ENDPOINT_FAILED, "the engine sent an unreadable event", false));
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
