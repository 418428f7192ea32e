package org.quetzalvane.core.load;

import org.quetzalvane.core.model.AdapterVersion;
import org.quetzalvane.core.request.InferenceRequest;
import org.quetzalvane.core.request.PendingRequest;

/**
 * One waiting request. Immutable.
 *
 * @param ticket the request
 * @param sinceNanos since when it waits here
 * @param promisedNanos instant by which its adapter should be loaded
 * @param heldUntilNanos instant until which it may be held back for a fuller batch
 * @param rank lower goes first, before all else
 * @param tag virtual time of the caller's share; lower goes first within a rank
 * @param place order of arrival at this engine
 */
record Waiting(
        PendingRequest ticket,
        long sinceNanos,
        long promisedNanos,
        long heldUntilNanos,
        int rank,
        double tag,
        long place) {

    AdapterVersion version() {
        return request().version();
    }

    InferenceRequest request() {
        return ticket.request();
    }
}
