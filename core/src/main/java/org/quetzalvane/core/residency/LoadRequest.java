package org.quetzalvane.core.residency;

import org.quetzalvane.core.routes.AdapterRef;

/**
 * One request's wish for an adapter at an engine. Immutable.
 *
 * @param adapter adapter asked for
 * @param version adapter version, or {@link org.quetzalvane.core.routes.RequiredVersions#ANY_VERSION}
 * @param rank urgency of the request, 0 first; {@link #IN_PROGRESS_RANK} for one that was sent before
 * @param dueMs time in which the adapter must be there for the request to be on time, milliseconds
 * @param waitMs longest wait, milliseconds
 */
public record LoadRequest(AdapterRef adapter, int version, int rank, long dueMs, long waitMs) {
    /** Rank of a request that was sent before and may have run: its caller may be left with a part of an answer. */
    public static final int IN_PROGRESS_RANK = -1;
}
