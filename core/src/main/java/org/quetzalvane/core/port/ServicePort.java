package org.quetzalvane.core.port;

import java.util.concurrent.CompletableFuture;

import org.quetzalvane.core.model.Service;

/**
 * Calls to plain services. Implementations are thread-safe.
 *
 * <p>The future fails with {@link org.quetzalvane.core.exc.EndpointException}. A call that must not be repeated is
 * never sent over a connection that may have gone stale.
 */
public interface ServicePort {

    /** Sends one call and completes with the answer whose attempt id matched. */
    CompletableFuture<ServiceResponse> call(Service service, ServiceCall call);

    /**
     * One call. Immutable.
     *
     * @param attemptId unique for every attempt
     * @param caller name of the caller
     * @param idempotent whether the call may be repeated
     * @param body the body
     * @param timeoutMillis longest wait for the answer, in milliseconds
     */
    record ServiceCall(String attemptId, String caller, boolean idempotent, String body, long timeoutMillis) {}

    /**
     * The service's answer. Immutable.
     *
     * @param status HTTP status
     * @param body the body
     */
    record ServiceResponse(int status, String body) {}
}
