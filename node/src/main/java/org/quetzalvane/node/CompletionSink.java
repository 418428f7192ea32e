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
 * Sends the response of a completion to its caller, as a stream of server-sent events or as one JSON object.
 *
 * <p>Invariants: the last event of a complete stream has a field {@code done} or {@code error}; a stream that ends
 * without either is incomplete. While a streamed request waits, comments keep its connection alive; a refusal after the
 * first comment is sent as an {@code error} event. The methods of the sink are called from one thread at a time,
 * concurrently with the keep-alive timer. The monitor guards {@code stream}, {@code finished} and {@code
 * keepAliveTimer}; under it, only the monitor of the {@link ServerSentEventStream} is acquired.
 */
final class CompletionSink implements ResponseSink {
    private static final int STREAM_BUFFER_BYTES = 1 << 20;
    private static final int OK = 200;
    private static final Duration KEEP_ALIVE_INTERVAL = Duration.ofSeconds(2);

    private final HttpExchange exchange;
    private final InferenceRequest request;
    private final boolean streaming;
    private final StringBuilder collected = new StringBuilder();
    private final CompletableFuture<Runnable> disconnectAction = new CompletableFuture<>();
    private ServerSentEventStream stream;
    private boolean partSent;
    private boolean finished;
    private Scheduler.Timer keepAliveTimer = () -> {};

    private CompletionSink(HttpExchange exchange, InferenceRequest request, boolean streaming) {
        this.exchange = exchange;
        this.request = request;
        this.streaming = streaming;
    }

    static CompletionSink streaming(HttpExchange exchange, InferenceRequest request) {
        return new CompletionSink(exchange, request, true);
    }

    static CompletionSink buffered(HttpExchange exchange, InferenceRequest request) {
        return new CompletionSink(exchange, request, false);
    }

    /** Sets the action for a caller that disconnects, and starts the keep-alive comments of a streamed response. */
    void start(Scheduler scheduler, Runnable onDisconnect) {
        disconnectAction.complete(onDisconnect);
        exchange.onDisconnect(scheduler, onDisconnect);
        synchronized (this) {
            if (streaming && !finished) {
                keepAliveTimer = scheduler.repeat(KEEP_ALIVE_INTERVAL, this::sendKeepAlive);
            }
        }
    }

    @Override
    public void part(String text) {
        if (streaming) {
            partSent = true;
            startedStream().send(Json.object().put("text", text));
        } else {
            collected.append(text);
        }
    }

    @Override
    public void completed(int tokens) {
        ObjectNode summary = head().put("done", true).put("tokens", tokens);
        if (streaming) {
            sendLast(startedStream(), summary);
        } else {
            exchange.respond(OK, summary.put("text", collected.toString()));
        }
    }

    @Override
    public void refused(Refusal refusal) {
        ServerSentEventStream started = stopKeepAlive();
        if (started == null) {
            ErrorResponses.sendRefusal(exchange, refusal);
        } else {
            sendLast(started, Json.object().set("error", Json.tree(ErrorBody.of(refusal))));
        }
    }

    @Override
    public void failed(ResultCode code, String message) {
        ErrorBody error = ErrorBody.of(code, message);
        ServerSentEventStream started = stopKeepAlive();
        if (started == null) {
            exchange.respond(code.httpStatus(), error);
        } else {
            sendLast(started, Json.object().set("error", Json.tree(error)));
        }
    }

    @Override
    public boolean tryReset() {
        collected.setLength(0);
        return !partSent;
    }

    private void sendKeepAlive() {
        ServerSentEventStream s;
        synchronized (this) {
            if (finished) {
                return;
            }
            s = startedStream();
        }
        s.sendComment("waiting");
    }

    private void sendLast(ServerSentEventStream s, Object lastEvent) {
        stopKeepAlive();
        s.send(lastEvent);
        s.end();
    }

    /** Ends the keep-alive comments; returns the stream if it was started, else null. */
    private synchronized ServerSentEventStream stopKeepAlive() {
        finished = true;
        keepAliveTimer.cancel();
        return stream;
    }

    /** Returns the stream; the first call starts the stream and sends the head event. */
    private synchronized ServerSentEventStream startedStream() {
        if (stream == null) {
            stream = exchange.startEventStream(
                    STREAM_BUFFER_BYTES, () -> disconnectAction.thenAcceptAsync(Runnable::run));
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
