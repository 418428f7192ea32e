package org.quetzalvane.core.serve;

/**
 * One send of a request to an endpoint. Immutable.
 *
 * @param request the request sent
 * @param deadlineMs time that is left, in milliseconds
 * @param priority 0 to 9, where 0 goes first
 * @param version adapter version that must serve it, or 0 for any
 * @param lastEventId event after which the stream goes on, or null
 * @param requireFreshConnection whether a connection that was idle for long may not carry it, since it cannot be
 *     repeated
 */
public record EndpointRequest(
        CallerRequest request,
        long deadlineMs,
        int priority,
        int version,
        String lastEventId,
        boolean requireFreshConnection) {}
