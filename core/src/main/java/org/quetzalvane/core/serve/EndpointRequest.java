package org.quetzalvane.core.serve;

/**
 * A request as one attempt sends it to an endpoint. Immutable.
 *
 * @param request request of the caller
 * @param remainingMs time left for the response, in milliseconds
 * @param enginePriority priority at the engine, 0 to 9, where 0 is served first
 * @param version adapter version that must serve the request, or 0 for any
 * @param lastEventId id of the event after which the stream is to continue, or null
 * @param requireFreshConnection whether a connection that was idle for long must not be used, because the request
 *     cannot be retried if that connection turns out to be closed
 * @param account name of the client account, or null if the request has none
 * @param forwardsCredentials whether the credentials of the caller are passed on
 */
public record EndpointRequest(
        CallerRequest request,
        long remainingMs,
        int enginePriority,
        int version,
        String lastEventId,
        boolean requireFreshConnection,
        String account,
        boolean forwardsCredentials) {}
