package org.quetzalvane.core.serve;

/**
 * A request as one attempt sends it to an endpoint. Immutable.
 *
 * @param request request of the caller
 * @param remainingMs time left for the response, in milliseconds
 * @param enginePriority priority at the engine, 0 to 9, where 0 is served first
 * @param version adapter version that must serve the request, or 0 for any
 * @param lastEventId id of the event after which the stream is to continue, or null
 * @param reuse which connections may carry the request
 * @param confirmation whether the instance at the endpoint's address must first state that it is the one of the
 *     endpoint's entry; if it states another one, the request fails as not sent
 * @param account name of the client account, or null if the request has none
 * @param forwardsCredentials whether the credentials of the caller are passed on
 */
public record EndpointRequest(
        CallerRequest request,
        long remainingMs,
        int enginePriority,
        int version,
        String lastEventId,
        Reuse reuse,
        Confirmation confirmation,
        String account,
        boolean forwardsCredentials) {

    /** Whether the instance of the endpoint is confirmed before a request is sent. */
    public enum Confirmation {
        NONE,
        /** The request is sent also if the instance states nothing. */
        UNLESS_SILENT,
        /** The request fails as not sent if the instance states nothing. */
        REQUIRED
    }

    /** Connections that may carry a request. */
    public enum Reuse {
        ANY,
        /** None that was idle for long: the request cannot be retried if the connection turns out to be closed. */
        RECENTLY_USED,
        /** A new one: a second response to an earlier attempt, which has the same id, cannot arrive there. */
        NONE
    }
}
