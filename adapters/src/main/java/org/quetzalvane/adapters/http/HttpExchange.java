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

/** One HTTP request with its response. Answered exactly once; thread-safe as far as Jetty's response is. */
public final class HttpExchange {
    private static final String BEARER = "Bearer ";

    private final Request request;
    private final Response response;
    private final Callback callback;
    private final int bodyLimitBytes;
    private final IntConsumer errors;
    private boolean answered;
    private GoneWatch watch;

    HttpExchange(Request request, Response response, Callback callback, int bodyLimitBytes, IntConsumer errors) {
        this.request = request;
        this.response = response;
        this.callback = callback;
        this.bodyLimitBytes = bodyLimitBytes;
        this.errors = errors;
    }

    public String method() {
        return request.getMethod();
    }

    public String path() {
        return Request.getPathInContext(request);
    }

    /** A header's value, or null. */
    public String header(String name) {
        return request.getHeaders().get(name);
    }

    /** The bearer token, or null. */
    public String bearerToken() {
        String value = header(HttpHeader.AUTHORIZATION.asString());
        return value != null && value.startsWith(BEARER) ? value.substring(BEARER.length()) : null;
    }

    /** A query parameter, or the given default. */
    public String queryParameter(String name, String missing) {
        Fields fields = Request.extractQueryParameters(request);
        String value = fields.getValue(name);
        return value == null ? missing : value;
    }

    /** Reads the whole body. */
    public CompletableFuture<byte[]> body() {
        return BodyReader.read(request, bodyLimitBytes);
    }

    /** Sets a response header; call before the answer. */
    public HttpExchange setResponseHeader(String name, String value) {
        response.getHeaders().put(name, value);
        return this;
    }

    /** Answers with a JSON value. */
    public void respond(int status, Object value) {
        if (value instanceof ErrorBody) {
            errors.accept(((ErrorBody) value).code());
        }
        respond(status, "application/json", Json.bytes(value));
    }

    /** Answers with bytes. */
    public void respond(int status, String type, byte[] body) {
        answered();
        response.setStatus(status);
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, type);
        response.getHeaders().put(HttpHeader.CONTENT_LENGTH, body.length);
        response.write(true, ByteBuffer.wrap(body), callback);
    }

    /** Starts a stream of server-sent events; {@code gone} runs once when the caller goes away. */
    public ServerSentEventStream startEventStream(int bufferLimitBytes, Runnable gone) {
        response.setStatus(200);
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, "text/event-stream");
        return new ServerSentEventStream(response, callback, bufferLimitBytes, gone, this::answered);
    }

    /**
     * Runs an action once when the caller closes its connection before the answer has ended; call after the body was
     * read and at most once.
     */
    public void onDisconnect(Scheduler scheduler, Runnable action) {
        GoneWatch started = new GoneWatch(
                request.getConnectionMetaData().getConnection().getEndPoint(), action, this::closeAfterAnswer);
        synchronized (this) {
            if (answered) {
                return;
            }
            watch = started.start(scheduler);
        }
    }

    /** Breaks the connection off without an answer. */
    public void abort() {
        answered();
        request.getConnectionMetaData().getConnection().getEndPoint().close();
        callback.failed(new java.io.IOException("aborted"));
    }

    private synchronized void answered() {
        answered = true;
        if (watch != null) {
            watch.stop();
        }
    }

    private void closeAfterAnswer() {
        if (!response.isCommitted()) {
            response.getHeaders().put(HttpHeader.CONNECTION, "close");
        }
    }
}
