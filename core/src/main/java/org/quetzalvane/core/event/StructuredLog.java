package org.quetzalvane.core.event;

/** Port for structured log lines, one for each decision and change of known state. Implementations must not block. */
@FunctionalInterface
public interface StructuredLog {

    /**
     * Writes one line.
     *
     * @param subject identifier of the object of the line, see {@link Event#subject()}, or of a peer or topic
     * @param fields alternating keys and values: the inputs of the decision, their age or version, and the outcome
     */
    void log(EventCode code, String subject, Object... fields);
}
