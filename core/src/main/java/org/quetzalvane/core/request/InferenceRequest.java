package org.quetzalvane.core.request;

import org.quetzalvane.core.model.AdapterVersion;

/**
 * A completion that a caller asks for. Immutable.
 *
 * @param id unique identifier given by the node that took it
 * @param caller name of the authenticated caller
 * @param version the exact adapter version named
 * @param prompt the prompt
 * @param maxTokens upper bound of the answer's length, in tokens
 * @param priority higher goes first
 * @param arrivalNanos monotonic instant of arrival
 * @param deadlineNanos monotonic instant by which the answer must be whole
 * @param idempotent whether it may be run more than once
 */
public record InferenceRequest(
        String id,
        String caller,
        AdapterVersion version,
        String prompt,
        int maxTokens,
        int priority,
        long arrivalNanos,
        long deadlineNanos,
        boolean idempotent) {

    /** A copy under another identifier, for another try. */
    public InferenceRequest withId(String newId) {
        return new InferenceRequest(
                newId, caller, version, prompt, maxTokens, priority, arrivalNanos, deadlineNanos, idempotent);
    }

    /** A copy with other instants, for a node with another clock. */
    public InferenceRequest withTimes(long arrival, long deadline) {
        return new InferenceRequest(id, caller, version, prompt, maxTokens, priority, arrival, deadline, idempotent);
    }
}
