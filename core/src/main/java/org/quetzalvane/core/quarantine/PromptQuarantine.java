package org.quetzalvane.core.quarantine;

import org.quetzalvane.core.fleet.Endpoint;

/** Port of the request path to the quarantine of requests that crash endpoints. Confined to the event loop. */
public interface PromptQuarantine {
    /** Time after the head of a stream, or after a request was sent, for which the response is in its beginning, ms. */
    long BEGINNING_MS = 1_000;

    /** Admits every request and records nothing. */
    PromptQuarantine NONE = new AdmitAll();

    /**
     * Whether a request may be sent now; called right before each send, also of a resumed or retried request and after
     * a wait for a load. A request that is admitted as a trial is admitted once.
     */
    Verdict check(RequestContent request);

    /**
     * Records that the response of an attempt got past its beginning: a chunk of a stream arrived {@link #BEGINNING_MS}
     * or more after the head, or a successful response completed. Called at most once for each attempt.
     */
    void recordPastBeginning(RequestContent request);

    /**
     * Records that the connection of an attempt broke before the response was complete.
     *
     * @param request the request; without the parts of its prompt if no byte of a response had arrived
     * @param beginningMs time since the head of this attempt's stream arrived, ms; since the first byte of the response
     *     if no such head did, or since it was sent if no byte arrived or the service has no models
     */
    default void recordBroken(Endpoint endpoint, RequestContent request, long beginningMs) {
        recordBroken(endpoint, request, beginningMs, false);
    }

    /**
     * Records that the connection of an attempt broke before the response was complete.
     *
     * @param withinHead whether a part of the head of a response had arrived and no more
     */
    void recordBroken(Endpoint endpoint, RequestContent request, long beginningMs, boolean withinHead);

    /** Records that a connection to the endpoint was refused: the instance has ended. */
    void recordUnreachable(Endpoint endpoint);

    /**
     * Registers a request that waits or runs; the callback runs once if it becomes condemned, not if it is condemned
     * already.
     *
     * @return to be closed when the request ends
     */
    Registration watch(RequestContent request, Runnable condemned);

    /** The quarantine that admits every request. */
    final class AdmitAll implements PromptQuarantine {
        private AdmitAll() {}

        @Override
        public Verdict check(RequestContent request) {
            return Verdict.ADMIT;
        }

        @Override
        public void recordPastBeginning(RequestContent request) {}

        @Override
        public void recordBroken(Endpoint endpoint, RequestContent request, long beginningMs, boolean withinHead) {}

        @Override
        public void recordUnreachable(Endpoint endpoint) {}

        @Override
        public Registration watch(RequestContent request, Runnable condemned) {
            return () -> {};
        }
    }
}
