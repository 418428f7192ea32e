package org.quetzalvane.core.routes;

import java.util.HashMap;
import java.util.Map;

/** The newest version that the operator named for each adapter; it only rises. Confined to the event loop. */
public final class RequiredVersions {
    /** Stands for an adapter whose version the operator never named: any version serves it. */
    public static final int ANY_VERSION = 0;

    private final Map<AdapterRef, Integer> named = new HashMap<>();

    /** Takes a named version; tells whether it is newer than what was known. */
    public boolean update(AdapterRef adapter, int version) {
        Integer before = named.get(adapter);
        if (before != null && before >= version) {
            return false;
        }
        named.put(adapter, version);
        return true;
    }

    /** The version a request must run on, or {@link #ANY_VERSION}. */
    public int required(AdapterRef adapter) {
        return named.getOrDefault(adapter, ANY_VERSION);
    }
}
