package org.quetzalvane.core.routes;

import java.util.HashMap;
import java.util.Map;

/**
 * The newest version that the operator requires for each adapter; a required version never decreases. Confined to the
 * event loop.
 */
public final class RequiredVersions {
    /** Stands for an adapter without a required version: any version can serve it. */
    public static final int ANY_VERSION = 0;

    private final Map<AdapterRef, Integer> versions = new HashMap<>();

    /** Applies a required version; returns whether it is newer than the known one. */
    public boolean update(AdapterRef adapter, int version) {
        Integer before = versions.get(adapter);
        if (before != null && before >= version) {
            return false;
        }
        versions.put(adapter, version);
        return true;
    }

    /** The version that a request must run on, or {@link #ANY_VERSION}. */
    public int required(AdapterRef adapter) {
        return versions.getOrDefault(adapter, ANY_VERSION);
    }
}
