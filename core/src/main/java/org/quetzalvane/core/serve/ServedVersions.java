package org.quetzalvane.core.serve;

import java.util.Set;
import java.util.function.Consumer;

import org.quetzalvane.core.fleet.Endpoint;

/**
 * Port that knows which software versions may have begun the streams of a service that callers can still resume.
 *
 * <p>A version is established once it has been recorded for longer than the store may lose records. Streams begin at
 * established versions while these have room, so that the origin of a stream can be told though all nodes were lost and
 * the store came back from a copy. Confined to the event loop.
 */
public interface ServedVersions {

    /**
     * Finds the software versions of a service's endpoints, including those that left lately.
     *
     * @param done called once with the versions, or with an empty set while they are not known for certain; possibly
     *     before this method returns
     */
    void find(String service, Consumer<Set<String>> done);

    /** Whether a service may have several software versions: this node knows them, or cannot rule them out. */
    default boolean maySeveralServe() {
        return false;
    }

    /** Whether the software version of an endpoint is established. */
    default boolean isEstablished(Endpoint e) {
        return true;
    }

    /** Establishes the versions of a service's endpoints before their time, because streams have to begin at them. */
    default void establish(String service) {}
}
