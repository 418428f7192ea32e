package org.quetzalvane.core.serve;

import java.util.function.Consumer;

/**
 * Port that knows, for all nodes, which software version the events of a stream come from. Confined to the event loop.
 */
public interface StreamOrigins {

    /** Records the software version that sends the events of a request. */
    void record(String requestId, String softwareVersion);

    /**
     * Looks up the software version that sent the events of a request.
     *
     * @param requestId id of the request, or null
     * @param done called once with the version, or with null if it is unknown; possibly before this method returns
     */
    void find(String requestId, Consumer<String> done);

    /**
     * Looks up the software version as {@link #find}, in what was kept beyond the loss of all nodes.
     *
     * @param requestId id of the request, or null
     * @param done called once with the version, or with null if it is unknown; possibly before this method returns
     */
    void findArchived(String requestId, Consumer<String> done);
}
