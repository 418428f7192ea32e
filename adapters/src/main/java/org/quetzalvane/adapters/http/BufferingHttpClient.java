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
 * HTTP calls with buffered answers. Thread-safe.
 *
 * <p>Futures fail with {@link ResultCode#ENDPOINT_UNREACHABLE} when the request was never put on a connection, so that
 * nothing was sent, and with {@link ResultCode#OUTCOME_UNKNOWN} when the exchange broke off later. An HTTP error status
 * is an answer, not a failure.
 */
public final class BufferingHttpClient implements AutoCloseable {
    private static final int MAX_ANSWER_BYTES = 16 << 20;
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
    private static final int MAX_CONNECTIONS = 256;
    private static final String BEGUN = BufferingHttpClient.class.getName() + ".begun";

    private final HttpClient client;

    /**
     * An answer. Immutable.
     *
     * @param status HTTP status
     * @param body the body; must not be modified
     */
    public record Response(int status, byte[] body) {

        public boolean isOk() {
            return status / 100 == 2;
        }
    }

    private BufferingHttpClient(HttpClient client) {
        this.client = client;
    }

    /** Starts a client of its own. */
    public static BufferingHttpClient start() {
        return start(new HttpClient());
    }

    /** Starts a client whose threads bear a name and whose connections are counted. */
    public static BufferingHttpClient start(String threadName, ConnectionByteCounter bytes) {
        HttpClient client = new HttpClient();
        client.setName(threadName);
        client.addBean(bytes);
        return start(client);
    }

    private static BufferingHttpClient start(HttpClient client) {
        client.setConnectTimeout(CONNECT_TIMEOUT.toMillis());
        client.setMaxConnectionsPerDestination(MAX_CONNECTIONS);
        client.setMaxRequestsQueuedPerDestination(MAX_CONNECTIONS * 16);
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

    /** Sends a request; a null body sends none. */
    public CompletableFuture<Response> call(
            String method, String url, Map<String, String> headers, byte[] body, Duration timeout) {
        Request request = request(method, url, headers, body).timeout(timeout.toMillis(), TimeUnit.MILLISECONDS);
        CompletableFuture<Response> answer = new CompletableFuture<>();
        request.send(new BufferingResponseListener(MAX_ANSWER_BYTES) {
            @Override
            public void onComplete(Result result) {
                if (result.isFailed()) {
                    answer.completeExceptionally(failure(result));
                } else {
                    byte[] content = getContent() == null ? new byte[0] : getContent();
                    answer.complete(new Response(result.getResponse().getStatus(), content));
                }
            }
        });
        return answer;
    }

    /** Prepares a request without sending it. */
    public Request request(String method, String url, Map<String, String> headers, byte[] body) {
        Request request = client.newRequest(url).method(method).onRequestBegin(r -> r.attribute(BEGUN, true));
        request.headers(h -> headers.forEach(h::put));
        if (body != null) {
            request.body(new BytesRequestContent("application/json", body));
        }
        return request;
    }

    /** Translates a failed exchange, prepared by {@link #request}, into one of this project's failures. */
    public static QuetzalvaneException failure(Result result) {
        boolean begun = result.getRequest().getAttributes().containsKey(BEGUN);
        ResultCode code = begun ? ResultCode.OUTCOME_UNKNOWN : ResultCode.ENDPOINT_UNREACHABLE;
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
