package org.quetzalvane.core.request;

import org.quetzalvane.core.ResultCode;

/**
 * Where the answer to one request goes.
 *
 * <p>Any number of parts is followed by exactly one of {@code completed}, {@code refused} and {@code failed}; after a
 * part
 * was given, {@code refused} never follows. Called from one thread at a time, without locks held.
 */
public interface ResponseSink {

    /** The next part of the answer. */
    void part(String text);

    /** The answer is whole. */
    void completed(int tokens);

    /** The request was not run. */
    void refused(Refusal refusal);

    /** The request was dispatched and did not finish whole, or its outcome is unknown. */
    void failed(ResultCode code, String message);

    /**
     * Asked before a request is tried again: takes the parts given so far back.
     *
     * @return false when parts were passed on and cannot be taken back
     */
    default boolean tryReset() {
        return false;
    }
}
