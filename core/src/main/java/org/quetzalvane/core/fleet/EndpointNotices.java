package org.quetzalvane.core.fleet;

import java.util.List;

/** Receives what endpoints state about themselves, and answers past their bound. Called on the event loop. */
public interface EndpointNotices {

    /** The endpoint stated that it leaves. */
    void leaving(Endpoint e);

    /**
     * The endpoint turned a request away and wants nothing from this node for a time.
     *
     * @param retryAfter value of the answer's header, not checked yet
     */
    void backOff(Endpoint e, String retryAfter);

    /**
     * An answer of the endpoint arrived, with or without a limit of its requests per second.
     *
     * @param values values of the answer's header, not checked yet; empty if it has none
     * @param sentNanos time at which the request was sent
     */
    void limit(Endpoint e, List<String> values, long sentNanos);

    /**
     * The endpoint sent more than the bound of an input; the connection is closed.
     *
     * @param input what was too large, for the log
     */
    void inputTooLarge(Endpoint e, String input);
}
