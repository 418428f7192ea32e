package org.quetzalvane.core.port;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/** The platform's list of hosts. It lags. Implementations are thread-safe. */
@FunctionalInterface
public interface HostListPort {

    /** Reads the list. */
    CompletableFuture<List<HostEntry>> list();

    /**
     * One host. Immutable.
     *
     * @param host name of the host
     * @param leaving whether it is leaving
     */
    record HostEntry(String host, boolean leaving) {}
}
