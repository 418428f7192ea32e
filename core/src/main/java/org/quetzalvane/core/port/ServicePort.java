package org.quetzalvane.core.port;

import java.util.concurrent.CompletableFuture;

import org.quetzalvane.core.model.Service;

/**
 * Port for calls to services. Implementations are thread-safe.
 *
 * <p>The future fails with {@link org.quetzalvane.core.exc.EndpointException}. A non-idempotent call
 * uses a new connection, since the service may close a reused one while the call is sent.
 */
public interface ServicePort {

    /** Sends a call and completes with the response that echoes its attempt identifier. */
    CompletableFuture<ServiceResponse> call(Service service, ServiceCall call);

    /**
     * A call. Immutable.
     *
     * @param attemptId identifier, unique for every attempt
     * @param caller name of the caller
     * @param idempotent whether the call may be repeated
     * @param body body of the request
     * @param timeoutMillis timeout of the response in milliseconds
     */
    record ServiceCall(String attemptId, String caller, boolean idempotent, String body, long timeoutMillis) {}

    /**
     * The response of a service. Immutable.
     *
     * @param status HTTP status
     * @param body body of the response
     */
    record ServiceResponse(int status, String body) {}
}
