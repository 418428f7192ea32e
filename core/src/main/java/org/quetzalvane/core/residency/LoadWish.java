package org.quetzalvane.core.residency;

import org.quetzalvane.core.routes.AdapterRef;

/**
 * One request's wish for an adapter at an engine. Immutable.
 *
 * @param adapter adapter asked for
 * @param version adapter version, or {@link org.quetzalvane.core.routes.NamedVersions#ANY}
 * @param rank urgency of the request, 0 first; {@link #IN_PROGRESS} for one whose answer has begun
 * @param dueMs time in which the adapter must be there for the request to be on time, milliseconds
 * @param waitMs longest wait, milliseconds
 */
public record LoadWish(AdapterRef adapter, int version, int rank, long dueMs, long waitMs) {
    /** Rank of a request whose answer has begun: a caller is left with a part of it otherwise. */
    public static final int IN_PROGRESS = -1;
}
