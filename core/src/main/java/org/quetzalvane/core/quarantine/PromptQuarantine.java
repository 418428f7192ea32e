package org.quetzalvane.core.quarantine;

import java.util.List;

import org.quetzalvane.core.fleet.Endpoint;

/**
 * Port of the request path to the quarantine of requests that crash endpoints.
 *
 * <p>Parts are the ids of the prompt's parts that other requests may have too; a request without any is never refused.
 * Confined to the event loop.
 */
public interface PromptQuarantine {
    /** Time after the head of a response for which the response is in its beginning, ms. */
    long BEGINNING_MS = 1_000;

    /** Admits every request and records nothing. */
    PromptQuarantine NONE = new AdmitAll();

    /**
     * Whether a request may be sent now; called right before each send, also of a resumed or retried request and after
     * a wait for a load. A request that is admitted as a trial is admitted once.
     */
    Verdict check(String service, List<String> sharedParts, String requestId);

    /**
     * Records that the response of an attempt got past its beginning: a chunk arrived {@link #BEGINNING_MS} or more
     * after the head, or a successful response completed. Called at most once for each attempt.
     */
    void recordPastBeginning(String service, List<String> sharedParts, String requestId);

    /**
     * Records that the connection of an attempt broke before the response was complete.
     *
     * @param beginningMs time since the head of this attempt's response arrived, ms; -1 if none arrived
     */
    void recordBroken(Endpoint endpoint, List<String> sharedParts, String requestId, long beginningMs);

    /** Records that a connection to the endpoint was refused: the instance has ended. */
    void recordUnreachable(Endpoint endpoint);

    /**
     * Registers a request that waits or runs; the callback runs once if its parts become condemned, not if they are
     * condemned already.
     *
     * @return to be closed when the request ends
     */
    Registration watch(String service, List<String> sharedParts, Runnable condemned);

    /** The quarantine that admits every request. */
    final class AdmitAll implements PromptQuarantine {
        private AdmitAll() {}

        @Override
        public Verdict check(String service, List<String> sharedParts, String requestId) {
            return Verdict.ADMIT;
        }

        @Override
        public void recordPastBeginning(String service, List<String> sharedParts, String requestId) {}

        @Override
        public void recordBroken(Endpoint endpoint, List<String> sharedParts, String requestId, long beginningMs) {}

        @Override
        public void recordUnreachable(Endpoint endpoint) {}

        @Override
        public Registration watch(String service, List<String> sharedParts, Runnable condemned) {
            return () -> {};
        }
    }
}
