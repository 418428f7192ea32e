package org.quetzalvane.core.fleet;

/** Receives what endpoints state about themselves in their answers. Called on the event loop. */
public interface EndpointNotices {

    /** The endpoint stated that it leaves. */
    void leaving(Endpoint e);

    /**
     * The endpoint turned a request away and wants nothing from this node for a time.
     *
     * @param retryAfter value of the answer's header, not checked yet
     */
    void backOff(Endpoint e, String retryAfter);
}
