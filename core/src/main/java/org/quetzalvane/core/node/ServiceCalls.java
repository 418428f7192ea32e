package org.quetzalvane.core.node;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.LongFunction;
import java.util.function.Supplier;

import org.quetzalvane.core.model.Service;
import org.quetzalvane.core.port.ServicePort;
import org.quetzalvane.core.port.ServicePort.ServiceCall;
import org.quetzalvane.core.port.ServicePort.ServiceResponse;
import org.quetzalvane.core.request.RetryBudget;
import org.quetzalvane.core.time.Scheduler;

/**
 * Calls services, which are endpoints that are not model engines, and retries idempotent calls that fail, within a
 * retry budget and the timeout of the call.
 *
 * <p>Invariants: a call that is not idempotent is sent once; every attempt has its own attempt id and starts after the
 * attempt before has ended. Thread-safe.
 */
public final class ServiceCalls {
    private static final int MAX_ATTEMPTS = 3;
    private static final int MAX_RETRY_BALANCE = 100;
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final ServicePort port;
    private final Scheduler scheduler;
    private final Supplier<String> attemptIds;
    private final RetryBudget budget = RetryBudget.withDefaultShare(MAX_RETRY_BALANCE);

    /** {@code attemptIds} supplies unique attempt ids. */
    public ServiceCalls(ServicePort port, Scheduler scheduler, Supplier<String> attemptIds) {
        this.port = port;
        this.scheduler = scheduler;
        this.attemptIds = attemptIds;
    }

    /**
     * Calls a service.
     *
     * @param timeoutMillis timeout of all attempts together, in milliseconds
     */
    public CompletableFuture<ServiceResponse> call(
            Service service, String caller, boolean idempotent, String body, long timeoutMillis) {
        LongFunction<CompletableFuture<ServiceResponse>> send =
                millis -> port.call(service, new ServiceCall(attemptIds.get(), caller, idempotent, body, millis));
        if (!idempotent) {
            return send.apply(timeoutMillis);
        }
        budget.recordRequest();
        return attempt(send, scheduler.nanoTime() + timeoutMillis * NANOS_PER_MILLI, 1);
    }

    private CompletableFuture<ServiceResponse> attempt(
            LongFunction<CompletableFuture<ServiceResponse>> send, long deadlineNanos, int attemptNumber) {
        CompletableFuture<ServiceResponse> sent = send.apply(remainingMillis(deadlineNanos));
        return sent.handle((response, failure) -> {
                    boolean retry = failure != null
                            && attemptNumber < MAX_ATTEMPTS
                            && remainingMillis(deadlineNanos) > 0
                            && budget.tryAcquire();
                    return retry
                            ? attempt(send, deadlineNanos, attemptNumber + 1)
                            : (CompletionStage<ServiceResponse>) sent;
                })
                .thenCompose(next -> next);
    }

    private long remainingMillis(long deadlineNanos) {
        return (deadlineNanos - scheduler.nanoTime()) / NANOS_PER_MILLI;
    }
}
