package org.quetzalvane.core.serve;

import java.util.Set;
import java.util.function.Consumer;

/**
 * Port that knows which software versions may have begun the streams of a service that callers can still resume.
 * Confined to the event loop.
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
}
