package org.quetzalvane.adapters.http;

import java.nio.ByteBuffer;
import java.util.concurrent.CompletableFuture;
import java.util.function.IntConsumer;

import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Fields;
import org.quetzalvane.core.time.Scheduler;

/**
 * One HTTP request and its response.
 *
 * <p>Exactly one of {@code respond}, {@link #startEventStream} and {@link #abort} must be called. Not thread-safe,
 * except that {@link #onDisconnect} and the end of its check, when a response is written, may run on different threads.
 */
public final class HttpExchange {
    private static final String BEARER = "Bearer ";

    private final Request request;
    private final Response response;
    private final Callback callback;
    private final int bodyLimitBytes;
    private final IntConsumer errorCodeListener;
    /** Set when a plain response starts, when an event stream ends, and by {@link #abort}. */
    private boolean disconnectCheckEnded;

    private DisconnectMonitor disconnectMonitor;

    HttpExchange(
            Request request, Response response, Callback callback, int bodyLimitBytes, IntConsumer errorCodeListener) {
        this.request = request;
        this.response = response;
        this.callback = callback;
        this.bodyLimitBytes = bodyLimitBytes;
        this.errorCodeListener = errorCodeListener;
    }

    public String method() {
        return request.getMethod();
    }

    public String path() {
        return Request.getPathInContext(request);
    }

    /** Returns the value of a request header, or null. */
    public String header(String name) {
        return request.getHeaders().get(name);
    }

    /** Returns the bearer token of the request, or null. */
    public String bearerToken() {
        String value = header(HttpHeader.AUTHORIZATION.asString());
        return value != null && value.startsWith(BEARER) ? value.substring(BEARER.length()) : null;
    }

    /** Returns a query parameter, or the default value if it is absent. */
    public String queryParameter(String name, String defaultValue) {
        Fields fields = Request.extractQueryParameters(request);
        String value = fields.getValue(name);
        return value == null ? defaultValue : value;
    }

    /** Reads the complete request body. */
    public CompletableFuture<byte[]> body() {
        return BodyReader.read(request, bodyLimitBytes);
    }

    /** Sets a response header; call before the response is sent. */
    public HttpExchange setResponseHeader(String name, String value) {
        response.getHeaders().put(name, value);
        return this;
    }

    /** Responds with a JSON value; the code of an {@link ErrorBody} is passed to the error code listener. */
    public void respond(int status, Object value) {
        if (value instanceof ErrorBody) {
            errorCodeListener.accept(((ErrorBody) value).code());
        }
        respond(status, "application/json", Json.bytes(value));
    }

    /** Responds with the given bytes. */
    public void respond(int status, String contentType, byte[] body) {
        endDisconnectCheck();
        response.setStatus(status);
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, contentType);
        response.getHeaders().put(HttpHeader.CONTENT_LENGTH, body.length);
        response.write(true, ByteBuffer.wrap(body), callback);
    }

    /**
     * Starts a response of server-sent events; {@code onWriteFailure} runs at most once, if a write before the last one
     * fails or the queued events exceed {@code bufferLimitBytes}.
     */
    public ServerSentEventStream startEventStream(int bufferLimitBytes, Runnable onWriteFailure) {
        response.setStatus(200);
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, "text/event-stream");
        return new ServerSentEventStream(
                response, callback, bufferLimitBytes, onWriteFailure, this::endDisconnectCheck);
    }

    /**
     * Runs an action at most once, if the client disconnects before a plain response is started or before an event
     * stream has ended. Call at most once, after the body was read.
     */
    public void onDisconnect(Scheduler scheduler, Runnable action) {
        DisconnectMonitor monitor = new DisconnectMonitor(
                request.getConnectionMetaData().getConnection().getEndPoint(), action, this::closeAfterResponse);
        synchronized (this) {
            if (disconnectCheckEnded) {
                return;
            }
            disconnectMonitor = monitor.start(scheduler);
        }
    }

    /** Closes the connection without a response. */
    public void abort() {
        endDisconnectCheck();
        request.getConnectionMetaData().getConnection().getEndPoint().close();
        callback.failed(new java.io.IOException("aborted"));
    }

    private synchronized void endDisconnectCheck() {
        disconnectCheckEnded = true;
        if (disconnectMonitor != null) {
            disconnectMonitor.stop();
        }
    }

    private void closeAfterResponse() {
        if (!response.isCommitted()) {
            response.getHeaders().put(HttpHeader.CONNECTION, "close");
        }
    }
}
