package org.quetzalvane.core.event;

/** Port for structured lines: one for each decision and change of belief. Implementations must not block. */
@FunctionalInterface
public interface StructuredLog {

    /**
     * Writes one line.
     *
     * @param subject the request, endpoint, peer or configuration concerned
     * @param fields names and values in turn: the inputs that decided, their age or version, and the outcome
     */
    void log(EventCode code, String subject, Object... fields);
}
