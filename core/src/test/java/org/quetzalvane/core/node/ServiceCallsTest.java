package org.quetzalvane.core.node;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.junit.jupiter.api.Test;
import org.quetzalvane.core.ResultCode;
import org.quetzalvane.core.exc.EndpointException;
import org.quetzalvane.core.exc.QuetzalvaneException;
import org.quetzalvane.core.model.DataCentre;
import org.quetzalvane.core.model.Service;
import org.quetzalvane.core.port.ServicePort.ServiceCall;
import org.quetzalvane.core.port.ServicePort.ServiceResponse;
import org.quetzalvane.core.time.ManualScheduler;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests which service calls are retried. */
class ServiceCallsTest {
    private static final Service SERVICE = new Service("s", "", "h", new DataCentre("r", "a"));
    private static final ServiceResponse RESPONSE = new ServiceResponse(200, "{}");
    private static final int REQUESTS = 1000;

    private final ManualScheduler time = new ManualScheduler();
    private final List<ServiceCall> sent = new ArrayList<>();
    private final List<CompletableFuture<ServiceResponse>> responses = new ArrayList<>();
    private final ServiceCalls calls = new ServiceCalls(
            (service, call) -> {
                sent.add(call);
                responses.add(new CompletableFuture<>());
                return responses.get(responses.size() - 1);
            },
            time,
            () -> "c" + sent.size());

    @Test
    void idempotentCallIsRetriedUnderAnotherAttemptId() {
        fillRetryBudget();
        CompletableFuture<ServiceResponse> outcome = call(true);
        time.advance(Duration.ofMillis(400));
        fail(0);
        responses.get(1).complete(RESPONSE);
        assertThat(outcome).isCompletedWithValue(RESPONSE);
        assertThat(sent.get(1).attemptId()).isNotEqualTo(sent.get(0).attemptId());
        assertThat(sent.get(1).timeoutMillis()).isEqualTo(600);
    }

    @Test
    void nonIdempotentCallIsSentOnce() {
        fillRetryBudget();
        CompletableFuture<ServiceResponse> outcome = call(false);
        fail(0);
        assertThat(sent).hasSize(1);
        assertThat(QuetzalvaneException.codeOf(outcome.handle((a, f) -> f).join()))
                .isEqualTo(ResultCode.OUTCOME_UNKNOWN);
    }

    @Test
    void noRetryAfterTheTimeout() {
        fillRetryBudget();
        CompletableFuture<ServiceResponse> outcome = call(true);
        time.advance(Duration.ofSeconds(1));
        fail(0);
        assertThat(sent).hasSize(1);
        assertThat(outcome).isCompletedExceptionally();
    }

    @Test
    void retriesOfAFailingServiceAddAtMostATenth() {
        for (int i = 0; i < REQUESTS; i++) {
            call(true);
            while (!responses.get(responses.size() - 1).isDone()) {
                fail(responses.size() - 1);
            }
        }
        assertThat(sent.size() - REQUESTS).isBetween(REQUESTS / 20, REQUESTS / 10);
    }

    private void fillRetryBudget() {
        for (int i = 0; i < REQUESTS; i++) {
            call(true);
        }
        sent.clear();
        responses.clear();
    }

    private CompletableFuture<ServiceResponse> call(boolean idempotent) {
        return calls.call(SERVICE, "angler", idempotent, "{}", 1000);
    }

    private void fail(int index) {
        responses.get(index).completeExceptionally(new EndpointException(ResultCode.OUTCOME_UNKNOWN, "cut", false));
    }
}
