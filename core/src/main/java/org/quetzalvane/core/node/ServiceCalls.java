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
 * Calls plain services; an idempotent call that fails is tried again within a budget and its timeout.
 *
 * <p>Invariants: a call that is not idempotent is sent once; every try has its own attempt id and begins after the one
 * before has ended. Thread-safe.
 */
public final class ServiceCalls {
    private static final int MAX_TRIES = 3;
    private static final int MAX_SAVED = 100;
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final ServicePort port;
    private final Scheduler scheduler;
    private final Supplier<String> ids;
    private final RetryBudget budget = RetryBudget.tenth(MAX_SAVED);

    /** Builds it over a port; {@code ids} gives unique attempt ids. */
    public ServiceCalls(ServicePort port, Scheduler scheduler, Supplier<String> ids) {
        this.port = port;
        this.scheduler = scheduler;
        this.ids = ids;
    }

    /**
     * Calls a service.
     *
     * @param timeoutMillis longest time for all tries together, in milliseconds
     */
    public CompletableFuture<ServiceResponse> call(
            Service service, String caller, boolean idempotent, String body, long timeoutMillis) {
        LongFunction<CompletableFuture<ServiceResponse>> send =
                millis -> port.call(service, new ServiceCall(ids.get(), caller, idempotent, body, millis));
        if (!idempotent) {
            return send.apply(timeoutMillis);
        }
        budget.counted();
        return attempt(send, scheduler.nanoTime() + timeoutMillis * NANOS_PER_MILLI, 1);
    }

    private CompletableFuture<ServiceResponse> attempt(
            LongFunction<CompletableFuture<ServiceResponse>> send, long deadlineNanos, int number) {
        CompletableFuture<ServiceResponse> sent = send.apply(leftMillis(deadlineNanos));
        return sent.handle((answer, failure) -> {
                    boolean again =
                            failure != null && number < MAX_TRIES && leftMillis(deadlineNanos) > 0 && budget.tryTake();
                    return again ? attempt(send, deadlineNanos, number + 1) : (CompletionStage<ServiceResponse>) sent;
                })
                .thenCompose(next -> next);
    }

    private long leftMillis(long deadlineNanos) {
        return (deadlineNanos - scheduler.nanoTime()) / NANOS_PER_MILLI;
    }
}
