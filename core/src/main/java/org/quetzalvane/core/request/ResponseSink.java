package org.quetzalvane.core.request;

import org.quetzalvane.core.ResultCode;

/**
 * Receives the response to one request.
 *
 * <p>The calls are any number of chunks and then exactly one of {@code completed}, {@code refused} and {@code failed};
 * {@code refused} only without chunks. Called from one thread at a time, without locks held.
 */
public interface ResponseSink {

    /** Receives the next chunk of the response. */
    void part(String text);

    /** Receives the end of a complete response, which has {@code tokens} tokens. */
    void completed(int tokens);

    /** Receives the refusal of a request that was not run. */
    void refused(Refusal refusal);

    /** Receives the failure of a dispatched request whose response is incomplete or whose outcome is unknown. */
    void failed(ResultCode code, String message);

    /**
     * Withdraws the chunks received so far; called before a retry of the request.
     *
     * @return whether the response can start again; false by default, so that the request is not retried
     */
    default boolean tryReset() {
        return false;
    }
}
