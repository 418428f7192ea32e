package org.quetzalvane.core.load;

import org.quetzalvane.core.model.AdapterVersion;
import org.quetzalvane.core.request.InferenceRequest;
import org.quetzalvane.core.request.PendingRequest;

/**
 * One request in the queue of an engine. Immutable.
 *
 * @param pending the request
 * @param queuedAtNanos time at which the request was queued
 * @param loadDeadlineNanos time by which the adapter of the request must be loaded
 * @param delayEndNanos time until which the dispatch may be delayed for a fuller batch
 * @param priorityRank first criterion of the dispatch order, lower first: the negated priority with fair sharing, else
 *     0
 * @param virtualStart virtual start time of the request for fair sharing among callers; lower first within a
 *     priority rank
 * @param position last criterion of the dispatch order; rises with arrival, negative for requests queued again
 */
record QueuedRequest(
        PendingRequest pending,
        long queuedAtNanos,
        long loadDeadlineNanos,
        long delayEndNanos,
        int priorityRank,
        double virtualStart,
        long position) {

    AdapterVersion version() {
        return request().version();
    }

    InferenceRequest request() {
        return pending.request();
    }
}
