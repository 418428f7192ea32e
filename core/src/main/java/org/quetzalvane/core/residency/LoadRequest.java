package org.quetzalvane.core.residency;

import org.quetzalvane.core.routes.AdapterRef;

/**
 * Request to have an adapter loaded on an engine. Immutable.
 *
 * @param adapter requested adapter
 * @param version adapter version, or {@link org.quetzalvane.core.routes.RequiredVersions#ANY_VERSION}
 * @param rank urgency, lowest number first: {@link #MAY_HAVE_RUN_RANK}, then the priorities of routes (0 first), then
 *     additional copies
 * @param dueMs time within which the adapter must be resident for the request to be on time, in milliseconds
 * @param waitMs longest wait, in milliseconds
 * @param refused whether the engine has just refused a request because the adapter is not resident
 */
public record LoadRequest(AdapterRef adapter, int version, int rank, long dueMs, long waitMs, boolean refused) {
    /**
     * Rank of a request that may have run; such a request goes first, because its response may have begun and would be
     * truncated without the adapter.
     */
    public static final int MAY_HAVE_RUN_RANK = -1;

    public LoadRequest(AdapterRef adapter, int version, int rank, long dueMs, long waitMs) {
        this(adapter, version, rank, dueMs, waitMs, false);
    }

    /** A copy that tells the engine's owner that the engine refused the adapter. */
    public LoadRequest withRefused() {
        return new LoadRequest(adapter, version, rank, dueMs, waitMs, true);
    }
}
