package org.quetzalvane.core.load;

import org.quetzalvane.core.model.AdapterVersion;
import org.quetzalvane.core.request.InferenceRequest;
import org.quetzalvane.core.request.PendingRequest;

/**
 * One request in the queue of an engine. Immutable.
 *
 * @param pending the request
 * @param queuedAtNanos time at which it was queued
 * @param loadDeadlineNanos time by which its adapter must be loaded
 * @param delayEndNanos time until which its dispatch may be delayed for a fuller batch
 * @param priorityRank first criterion of the dispatch order; lower goes first
 * @param virtualStart virtual start time of the request for fair sharing among callers; lower goes first within a rank
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
