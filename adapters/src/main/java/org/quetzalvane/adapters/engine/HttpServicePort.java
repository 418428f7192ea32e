package org.quetzalvane.adapters.engine;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;

import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Result;
import org.quetzalvane.adapters.http.BufferingHttpClient;
import org.quetzalvane.core.ResultCode;
import org.quetzalvane.core.exc.EndpointException;
import org.quetzalvane.core.exc.QuetzalvaneException;
import org.quetzalvane.core.model.Service;
import org.quetzalvane.core.port.ServicePort;

/**
 * {@link ServicePort} over HTTP. Thread-safe.
 *
 * <p>A non-idempotent call opens a new connection, which is closed after the response: a pooled connection may be
 * stale, and such a call must not be sent again.
 */
public final class HttpServicePort implements ServicePort {
    private static final String ATTEMPT_HEADER = "Attempt-Id";
    private static final int MAX_RESPONSE_BYTES = 4 << 20;

    private final BufferingHttpClient sharedClient;
    private final BufferingHttpClient singleUseClient;

    /**
     * Creates a port.
     *
     * @param sharedClient client for idempotent calls, whose connections are reused
     * @param singleUseClient client for non-idempotent calls only, each of which closes its connection
     */
    public HttpServicePort(BufferingHttpClient sharedClient, BufferingHttpClient singleUseClient) {
        this.sharedClient = sharedClient;
        this.singleUseClient = singleUseClient;
    }

    @Override
    public CompletableFuture<ServiceResponse> call(Service service, ServiceCall call) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put(ATTEMPT_HEADER, call.attemptId());
        headers.put("Caller", call.caller());
        if (!call.idempotent()) {
            headers.put("Connection", "close");
        }
        BufferingHttpClient httpClient = call.idempotent() ? sharedClient : singleUseClient;
        byte[] body = call.body().getBytes(StandardCharsets.UTF_8);
        Request request = httpClient.request("POST", service.url() + "/call", headers, body);
        request.timeout(Duration.ofMillis(call.timeoutMillis()).toMillis(), TimeUnit.MILLISECONDS);
        CompletableFuture<ServiceResponse> response = new CompletableFuture<>();
        request.send(new ResponseListener(call, response));
        return response;
    }

    private static final class ResponseListener extends BufferingResponseListener {
        private final ServiceCall call;
        private final CompletableFuture<ServiceResponse> response;

        ResponseListener(ServiceCall call, CompletableFuture<ServiceResponse> response) {
            super(MAX_RESPONSE_BYTES);
            this.call = call;
            this.response = response;
        }

        @Override
        public void onComplete(Result result) {
            if (result.isFailed()) {
                QuetzalvaneException e = BufferingHttpClient.failure(result);
                boolean notSent = e.code() == ResultCode.ENDPOINT_UNREACHABLE;
                fail(new EndpointException(e.code(), e.getMessage(), notSent));
                return;
            }
            String echoedAttemptId = result.getResponse().getHeaders().get(ATTEMPT_HEADER);
            if (!call.attemptId().equals(echoedAttemptId)) {
                fail(new EndpointException(
                        ResultCode.WRONG_ECHO, "service echoed another attempt id: " + echoedAttemptId, false));
                return;
            }
            String text = getContentAsString(StandardCharsets.UTF_8);
            response.complete(new ServiceResponse(result.getResponse().getStatus(), text == null ? "" : text));
        }

        private void fail(EndpointException e) {
            response.completeExceptionally(new CompletionException(e));
        }
    }
}
