package org.quetzalvane.core.team;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BiPredicate;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/**
 * The hubs, and the nodes that report to this one, as an exchange of news between nodes sees them.
 *
 * @param self address of this node for peers, IP:PORT
 * @param isHub whether this node is a hub
 * @param hubs addresses of the other hubs that are up
 * @param members addresses of the nodes that report to this one
 * @param network sends a message to a peer; returns false if there is no connection
 */
public record HubLinks(
        String self,
        BooleanSupplier isHub,
        Supplier<Collection<String>> hubs,
        Supplier<Collection<String>> members,
        BiPredicate<String, PeerMessage> network) {

    boolean send(String peer, PeerMessage m) {
        return network.test(peer, m);
    }

    /** Sends news of this node to all hubs and members. */
    void publish(PeerMessage m) {
        Set<String> receivers = new HashSet<>(hubs.get());
        receivers.addAll(members.get());
        receivers.remove(self);
        receivers.forEach(p -> send(p, m));
    }

    /** Passes news of another node on to the members. */
    void relay(PeerMessage m) {
        members.get().forEach(p -> send(p, m));
    }

    /** Addresses of the hubs that are up, with this node if it is one. */
    List<String> hubsWithSelf() {
        List<String> all = new ArrayList<>(hubs.get());
        all.remove(self);
        if (isHub.getAsBoolean()) {
            all.add(self);
        }
        return all;
    }
}
