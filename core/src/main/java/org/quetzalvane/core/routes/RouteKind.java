package org.quetzalvane.core.routes;

/** What may be repeated on a route. Immutable. */
public enum RouteKind {
    /** A request may run more than once. */
    IDEMPOTENT,
    /** A request runs at most once for each attempt of its caller. */
    NON_IDEMPOTENT,
    /** The answer is a stream of events; repeated only where the route says that streams may be resumed. */
    STREAMING
}
