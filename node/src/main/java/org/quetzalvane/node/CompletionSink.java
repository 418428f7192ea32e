package org.quetzalvane.node;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.quetzalvane.adapters.http.ErrorBody;
import org.quetzalvane.adapters.http.HttpExchange;
import org.quetzalvane.adapters.http.Json;
import org.quetzalvane.adapters.http.ServerSentEventStream;
import org.quetzalvane.core.ResultCode;
import org.quetzalvane.core.request.InferenceRequest;
import org.quetzalvane.core.request.Refusal;
import org.quetzalvane.core.request.ResponseSink;
import org.quetzalvane.core.time.Scheduler;

/**
 * Writes the answer of a completion to its caller, streamed or as one JSON object.
 *
 * <p>Invariants: a stream ends with either the event {@code done} or the event {@code error}; a caller that sees
 * neither does not have the whole answer. While a streamed request waits, comments tell the caller that it is alive; a
 * refusal after the first of them comes as an {@code error} event. The sink's methods are called from one thread at a
 * time, beside a timer's; the monitor guards what both use, and only the stream's own is taken under it.
 */
final class CompletionSink implements ResponseSink {
    private static final int STREAM_BUFFER_BYTES = 1 << 20;
    private static final int OK = 200;
    private static final Duration ALIVE_PERIOD = Duration.ofSeconds(2);

    private final HttpExchange exchange;
    private final InferenceRequest request;
    private final boolean streaming;
    private final StringBuilder collected = new StringBuilder();
    private final CompletableFuture<Runnable> gone = new CompletableFuture<>();
    private ServerSentEventStream stream;
    private boolean parted;
    private boolean over;
    private Scheduler.Timer alive = () -> {};

    private CompletionSink(HttpExchange exchange, InferenceRequest request, boolean streaming) {
        this.exchange = exchange;
        this.request = request;
        this.streaming = streaming;
    }

    static CompletionSink streaming(HttpExchange exchange, InferenceRequest request) {
        return new CompletionSink(exchange, request, true);
    }

    static CompletionSink whole(HttpExchange exchange, InferenceRequest request) {
        return new CompletionSink(exchange, request, false);
    }

    /** Sets what runs when the caller goes away, and gives signs of life from now on. */
    void begin(Scheduler scheduler, Runnable onGone) {
        gone.complete(onGone);
        exchange.onDisconnect(scheduler, onGone);
        synchronized (this) {
            if (streaming && !over) {
                alive = scheduler.repeat(ALIVE_PERIOD, this::signOfLife);
            }
        }
    }

    @Override
    public void part(String text) {
        if (streaming) {
            parted = true;
            open().send(Json.object().put("text", text));
        } else {
            collected.append(text);
        }
    }

    @Override
    public void completed(int tokens) {
        ObjectNode end = head().put("done", true).put("tokens", tokens);
        if (streaming) {
            finish(open(), end);
        } else {
            exchange.respond(OK, end.put("text", collected.toString()));
        }
    }

    @Override
    public void refused(Refusal refusal) {
        ServerSentEventStream begun = close();
        if (begun == null) {
            Replies.refusal(exchange, refusal);
        } else {
            finish(begun, Json.object().set("error", Json.tree(ErrorBody.of(refusal))));
        }
    }

    @Override
    public void failed(ResultCode code, String message) {
        ErrorBody error = ErrorBody.of(code, message);
        ServerSentEventStream begun = close();
        if (begun == null) {
            exchange.respond(code.httpStatus(), error);
        } else {
            finish(begun, Json.object().set("error", Json.tree(error)));
        }
    }

    @Override
    public boolean tryReset() {
        collected.setLength(0);
        return !parted;
    }

    private void signOfLife() {
        ServerSentEventStream s;
        synchronized (this) {
            if (over) {
                return;
            }
            s = open();
        }
        s.sendComment("waiting");
    }

    private void finish(ServerSentEventStream s, Object lastEvent) {
        close();
        s.send(lastEvent);
        s.end();
    }

    /** Ends the signs of life; returns the stream if one was begun. */
    private synchronized ServerSentEventStream close() {
        over = true;
        alive.cancel();
        return stream;
    }

    private synchronized ServerSentEventStream open() {
        if (stream == null) {
            stream = exchange.startEventStream(STREAM_BUFFER_BYTES, () -> gone.thenAcceptAsync(Runnable::run));
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
