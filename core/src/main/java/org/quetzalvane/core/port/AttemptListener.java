package org.quetzalvane.core.port;

import org.quetzalvane.core.exc.EndpointException;
import org.quetzalvane.core.model.AdapterVersion;

/** Hears the answer to an attempt, in order and from one thread at a time. */
public interface AttemptListener {

    /** The engine accepted the attempt and echoes what it runs. */
    void started(String attemptId, AdapterVersion version);

    /** One part of the answer; indexes count from the attempt's {@code resumeFrom}. */
    void part(int index, String text);

    /** The explicit end mark: the answer is whole. */
    void end(int tokens);

    /** The attempt failed or broke off. */
    void failed(EndpointException failure);
}
