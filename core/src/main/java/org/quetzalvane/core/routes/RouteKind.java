package org.quetzalvane.core.routes;

/** Retry and response behaviour of a route. */
public enum RouteKind {
    /** A request may run more than once. */
    IDEMPOTENT,
    /** A request runs at most once for each time that its caller sends it. */
    NON_IDEMPOTENT,
    /** The response is a stream of events; retried only if the route allows streams to be resumed. */
    STREAMING
}
