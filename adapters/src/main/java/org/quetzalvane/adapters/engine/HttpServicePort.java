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
 * Plain services over HTTP. Thread-safe.
 *
 * <p>A non-idempotent call opens a connection of its own, which is closed after the answer and never pooled.
 */
public final class HttpServicePort implements ServicePort {
    private static final String ATTEMPT_HEADER = "Attempt-Id";
    private static final int MAX_ANSWER_BYTES = 4 << 20;

    private final BufferingHttpClient pooled;
    private final BufferingHttpClient unpooled;

    public HttpServicePort(BufferingHttpClient pooled, BufferingHttpClient unpooled) {
        this.pooled = pooled;
        this.unpooled = unpooled;
    }

    @Override
    public CompletableFuture<ServiceResponse> call(Service service, ServiceCall call) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put(ATTEMPT_HEADER, call.attemptId());
        headers.put("Caller", call.caller());
        if (!call.idempotent()) {
            headers.put("Connection", "close");
        }
        BufferingHttpClient calls = call.idempotent() ? pooled : unpooled;
        byte[] body = call.body().getBytes(StandardCharsets.UTF_8);
        Request request = calls.request("POST", service.url() + "/call", headers, body);
        request.timeout(Duration.ofMillis(call.timeoutMillis()).toMillis(), TimeUnit.MILLISECONDS);
        CompletableFuture<ServiceResponse> answer = new CompletableFuture<>();
        request.send(new AnswerListener(call, answer));
        return answer;
    }

    private static final class AnswerListener extends BufferingResponseListener {
        private final ServiceCall call;
        private final CompletableFuture<ServiceResponse> answer;

        AnswerListener(ServiceCall call, CompletableFuture<ServiceResponse> answer) {
            super(MAX_ANSWER_BYTES);
            this.call = call;
            this.answer = answer;
        }

        @Override
        public void onComplete(Result result) {
            if (result.isFailed()) {
                QuetzalvaneException e = BufferingHttpClient.failure(result);
                boolean unsent = e.code() == ResultCode.ENDPOINT_UNREACHABLE;
                fail(new EndpointException(e.code(), e.getMessage(), unsent));
                return;
            }
            String echo = result.getResponse().getHeaders().get(ATTEMPT_HEADER);
            if (!call.attemptId().equals(echo)) {
                fail(new EndpointException(ResultCode.WRONG_ECHO, "the service echoed " + echo, false));
                return;
            }
            String text = getContentAsString(StandardCharsets.UTF_8);
            answer.complete(new ServiceResponse(result.getResponse().getStatus(), text == null ? "" : text));
        }

        private void fail(EndpointException e) {
            answer.completeExceptionally(new CompletionException(e));
        }
    }
}
