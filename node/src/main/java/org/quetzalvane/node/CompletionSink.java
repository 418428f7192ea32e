package org.quetzalvane.node;

import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.quetzalvane.adapters.http.ErrorBody;
import org.quetzalvane.adapters.http.EventStream;
import org.quetzalvane.adapters.http.Exchange;
import org.quetzalvane.adapters.http.Json;
import org.quetzalvane.core.ResultCode;
import org.quetzalvane.core.request.AnswerSink;
import org.quetzalvane.core.request.InferenceRequest;
import org.quetzalvane.core.request.Refusal;

/**
 * Writes the answer of a completion to its caller, streamed or as one JSON object.
 *
 * <p>Invariant: a stream ends with either the event {@code done} or the event {@code error}; a caller that sees
 * neither does not have the whole answer. Called from one thread at a time, as {@link AnswerSink} says.
 */
final class CompletionSink implements AnswerSink {
    private static final int STREAM_BUFFER_BYTES = 1 << 20;
    private static final int OK = 200;

    private final Exchange exchange;
    private final InferenceRequest request;
    private final boolean streaming;
    private final StringBuilder collected = new StringBuilder();
    private final CompletableFuture<Runnable> gone = new CompletableFuture<>();
    private EventStream stream;

    private CompletionSink(Exchange exchange, InferenceRequest request, boolean streaming) {
        this.exchange = exchange;
        this.request = request;
        this.streaming = streaming;
    }

    static CompletionSink streaming(Exchange exchange, InferenceRequest request) {
        return new CompletionSink(exchange, request, true);
    }

    static CompletionSink whole(Exchange exchange, InferenceRequest request) {
        return new CompletionSink(exchange, request, false);
    }

    /** Sets what runs when the caller goes away. */
    void onGone(Runnable action) {
        gone.complete(action);
    }

    @Override
    public void part(String text) {
        if (streaming) {
            stream().send(Json.object().put("text", text));
        } else {
            collected.append(text);
        }
    }

    @Override
    public void done(int tokens) {
        ObjectNode end = head().put("done", true).put("tokens", tokens);
        if (streaming) {
            stream().send(end);
            stream().end();
        } else {
            exchange.reply(OK, end.put("text", collected.toString()));
        }
    }

    @Override
    public void refused(Refusal refusal) {
        Replies.refusal(exchange, refusal);
    }

    @Override
    public void failed(ResultCode code, String message) {
        ErrorBody error = ErrorBody.of(code, message);
        if (stream != null) {
            stream.send(Json.object().set("error", Json.tree(error)));
            stream.end();
        } else {
            exchange.reply(code.httpStatus(), error);
        }
    }

    private EventStream stream() {
        if (stream == null) {
            stream = exchange.stream(STREAM_BUFFER_BYTES, () -> gone.thenAccept(Runnable::run));
            stream.send(head());
        }
        return stream;
    }

    private ObjectNode head() {
        return Json.object()
                .put("request", request.id())
                .put("adapter", request.version().adapter())
                .put("version", request.version().version());
    }
}
