package org.quetzalvane.adapters.http;

import java.io.IOException;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Result;
import org.quetzalvane.core.ResultCode;
import org.quetzalvane.core.exc.QuetzalvaneException;

/**
 * HTTP client based on Jetty. Thread-safe.
 *
 * <p>{@link #call} and {@link #get} buffer the complete response in memory, at most 16 MiB; {@link #request} returns a
 * request of Jetty, whose response may be read as a stream. Every body is sent as {@code application/json}.
 *
 * <p>Futures fail with {@link ResultCode#ENDPOINT_UNREACHABLE} if the request was never assigned to a connection, so
 * that nothing was sent, and with {@link ResultCode#OUTCOME_UNKNOWN} if the exchange failed later. An HTTP error status
 * is a response, not a failure.
 */
public final class BufferingHttpClient implements AutoCloseable {
    private static final int MAX_STATUS = 599;

    private static final int MAX_RESPONSE_BYTES = 16 << 20;
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
    private static final int MAX_CONNECTIONS_PER_DESTINATION = 256;
    private static final String SEND_STARTED_ATTRIBUTE = BufferingHttpClient.class.getName() + ".begun";

    private final HttpClient client;

    /**
     * A complete HTTP response. Immutable.
     *
     * @param status HTTP status
     * @param body response body; must not be modified
     */
    public record Response(int status, byte[] body) {

        public boolean isOk() {
            return status / 100 == 2;
        }
    }

    private BufferingHttpClient(HttpClient client) {
        this.client = client;
    }

    /** Starts a client with default thread names. */
    public static BufferingHttpClient start() {
        return start(new HttpClient());
    }

    /** Starts a client whose threads have the given name and whose connections are counted. */
    public static BufferingHttpClient start(String threadName, ConnectionByteCounter byteCounter) {
        HttpClient client = new HttpClient();
        client.setName(threadName);
        client.addBean(byteCounter);
        return start(client);
    }

    private static BufferingHttpClient start(HttpClient client) {
        client.setConnectTimeout(CONNECT_TIMEOUT.toMillis());
        client.setMaxConnectionsPerDestination(MAX_CONNECTIONS_PER_DESTINATION);
        client.setMaxRequestsQueuedPerDestination(MAX_CONNECTIONS_PER_DESTINATION * 16);
        client.setFollowRedirects(false);
        try {
            client.start();
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
        return new BufferingHttpClient(client);
    }

    public HttpClient client() {
        return client;
    }

    public CompletableFuture<Response> get(String url, Duration timeout) {
        return call("GET", url, Map.of(), null, timeout);
    }

    /** Sends a request, without a body if {@code body} is null. */
    public CompletableFuture<Response> call(
            String method, String url, Map<String, String> headers, byte[] body, Duration timeout) {
        Request request = request(method, url, headers, body).timeout(timeout.toMillis(), TimeUnit.MILLISECONDS);
        CompletableFuture<Response> response = new CompletableFuture<>();
        request.send(new BufferingResponseListener(MAX_RESPONSE_BYTES) {
            @Override
            public void onComplete(Result result) {
                if (result.isFailed()) {
                    response.completeExceptionally(failure(result));
                } else {
                    byte[] content = getContent() == null ? new byte[0] : getContent();
                    response.complete(new Response(result.getResponse().getStatus(), content));
                }
            }
        });
        return response;
    }

    /** Creates a request without sending it. */
    public Request request(String method, String url, Map<String, String> headers, byte[] body) {
        Request request = client.newRequest(url)
                .method(method)
                .onRequestBegin(r -> r.attribute(SEND_STARTED_ATTRIBUTE, true))
                .onResponseBegin(BufferingHttpClient::abortIfStatusIsInvalid);
        request.headers(h -> headers.forEach(h::put));
        if (body != null) {
            request.body(new BytesRequestContent("application/json", body));
        }
        return request;
    }

    /** The library rejects statuses below 100 only. */
    private static void abortIfStatusIsInvalid(org.eclipse.jetty.client.Response response) {
        if (response.getStatus() > MAX_STATUS) {
            response.abort(new IOException("invalid status " + response.getStatus()));
        }
    }

    /** Converts the failure of a request created by {@link #request} to an exception with a result code. */
    public static QuetzalvaneException failure(Result result) {
        boolean sendStarted = result.getRequest().getAttributes().containsKey(SEND_STARTED_ATTRIBUTE);
        ResultCode code = sendStarted ? ResultCode.OUTCOME_UNKNOWN : ResultCode.ENDPOINT_UNREACHABLE;
        Throwable cause = result.getFailure();
        return new QuetzalvaneException(code, cause.toString(), cause);
    }

    @Override
    public void close() throws IOException {
        try {
            client.stop();
        } catch (Exception e) {
            throw new IOException(e);
        }
    }
}
