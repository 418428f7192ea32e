package org.quetzalvane.core.residency;

import org.quetzalvane.core.routes.AdapterRef;

/**
 * Request to have an adapter loaded on an engine. Immutable.
 *
 * @param adapter requested adapter
 * @param version adapter version, or {@link org.quetzalvane.core.routes.RequiredVersions#ANY_VERSION}
 * @param rank priority of the request, 0 first; {@link #MAY_HAVE_RUN_RANK} if it may have run already
 * @param dueMs time within which the adapter must be resident for the request to be on time, milliseconds
 * @param waitMs longest wait, milliseconds
 */
public record LoadRequest(AdapterRef adapter, int version, int rank, long dueMs, long waitMs) {
    /** Rank of a request that may have run already; otherwise its caller could be left with a truncated response. */
    public static final int MAY_HAVE_RUN_RANK = -1;
}
