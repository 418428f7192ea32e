package org.quetzalvane.core.request;

import org.quetzalvane.core.model.AdapterVersion;

/**
 * A request for a completion. Immutable.
 *
 * @param id unique identifier, assigned by the node that received the request
 * @param caller name of the authenticated caller
 * @param version the exact adapter version requested
 * @param prompt the prompt
 * @param maxTokens maximum length of the response, in tokens
 * @param priority priority in the queue; higher is dispatched first
 * @param arrivalNanos monotonic time of arrival, in nanoseconds
 * @param deadlineNanos monotonic time by which the response must be complete, in nanoseconds
 * @param idempotent whether the request may be run more than once
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

    /** Returns a copy with another identifier, for a retry. */
    public InferenceRequest withId(String newId) {
        return new InferenceRequest(
                newId, caller, version, prompt, maxTokens, priority, arrivalNanos, deadlineNanos, idempotent);
    }

    /** Returns a copy with other times, for a node whose monotonic clock differs. */
    public InferenceRequest withTimes(long newArrivalNanos, long newDeadlineNanos) {
        return new InferenceRequest(
                id, caller, version, prompt, maxTokens, priority, newArrivalNanos, newDeadlineNanos, idempotent);
    }
}
