package org.quetzalvane.core.request;

import org.quetzalvane.core.ResultCode;

/**
 * Receives the response to one request.
 *
 * <p>Any number of chunks is followed by exactly one of {@code completed}, {@code refused} and {@code failed}, but not
 * by {@code refused} after a chunk. Called from one thread at a time, without locks held.
 */
public interface ResponseSink {

    /** The next chunk of the response. */
    void part(String text);

    /** The response is complete. */
    void completed(int tokens);

    /** The request was not run. */
    void refused(Refusal refusal);

    /** The request was dispatched and its response is incomplete, or its outcome is unknown. */
    void failed(ResultCode code, String message);

    /**
     * Withdraws the chunks received so far; called before a retry of the request.
     *
     * @return false if chunks were forwarded and cannot be withdrawn
     */
    default boolean tryReset() {
        return false;
    }
}
