package org.quetzalvane.core.port;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/** Port for the host list of the platform, which may be outdated. Implementations are thread-safe. */
@FunctionalInterface
public interface HostListPort {

    /** Reads the list. */
    CompletableFuture<List<HostEntry>> list();

    /**
     * A host of the list. Immutable.
     *
     * @param host name of the host
     * @param leaving whether the host is leaving
     */
    record HostEntry(String host, boolean leaving) {}
}
