package org.quetzalvane.core.port;

import org.quetzalvane.core.exc.EndpointException;
import org.quetzalvane.core.model.AdapterVersion;

/** Receives the response to an attempt, in order and from one thread at a time. */
public interface AttemptListener {

    /** The engine accepted the attempt; the arguments are those that the engine echoed. */
    void started(String attemptId, AdapterVersion version);

    /**
     * A chunk of the response was received.
     *
     * @param index index of the chunk within the response to this attempt, from 0
     * @param text text of the chunk
     */
    void part(int index, String text);

    /** The end mark was received; the response is complete. */
    void end(int tokens);

    /** The attempt failed or its response broke off. */
    void failed(EndpointException failure);
}
