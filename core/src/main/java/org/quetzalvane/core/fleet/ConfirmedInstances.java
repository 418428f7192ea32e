package org.quetzalvane.core.fleet;

import java.util.HashMap;
import java.util.Map;

/**
 * The instances of endpoints that have stated their own start since this node was last without a sound connection to
 * them.
 *
 * <p>The entry of an endpoint that starts again under its old id lags by a heartbeat, and its new instance may have
 * another software version. The end of an instance ends all its connections, so an instance stays confirmed while
 * connections to it are open. Confined to the event loop.
 */
public final class ConfirmedInstances {
    /** Confirmed start by address, milliseconds since the epoch. */
    private final Map<String, Confirmed> byAddress = new HashMap<>();

    /** Start of the instance of an endpoint. */
    private record Confirmed(String id, long bornMs) {}

    /** Whether the instance that an entry describes is the one at the address, which is text of any one form. */
    public boolean isConfirmed(String address, Endpoint e) {
        return new Confirmed(e.id(), e.bornMs()).equals(byAddress.get(address));
    }

    /** Records that the endpoint at the address has stated the start that its entry states. */
    public void confirm(String address, Endpoint e) {
        byAddress.put(address, new Confirmed(e.id(), e.bornMs()));
    }

    /** Forgets the instance at an address, because a connection to it broke or the last one was closed. */
    public void connectionLost(String address) {
        byAddress.remove(address);
    }
}
