package org.quetzalvane.core.choice;

import java.util.List;
import java.util.function.Predicate;

import org.quetzalvane.core.cluster.RendezvousHash;
import org.quetzalvane.core.fleet.Endpoint;

/**
 * Selects the engine on which an adapter is loaded, by the rendezvous order of the adapter.
 *
 * <p>Load pattern: requests for one adapter that arrive at many nodes whose known loads differ. The least known cost
 * would let two nodes load the adapter on two engines; the order does not depend on the load except that it passes
 * over engines that cannot take a load now. Stateless and thread-safe.
 */
final class LoadTargets {
    private LoadTargets() {}

    /**
     * The engine at a position of the adapter's rendezvous order among the acceptable engines, the last one if there
     * are fewer, or null if none is acceptable. Takes one pass for each position, as callers ask for the first few.
     *
     * @param position position in the order, from 0
     */
    static Endpoint inOrder(String adapter, List<Endpoint> engines, Predicate<Endpoint> acceptable, int position) {
        long key = RendezvousHash.hash(adapter);
        Endpoint found = null;
        long bound = Long.MAX_VALUE;
        for (int i = 0; i <= position; i++) {
            Endpoint next = null;
            long highest = Long.MIN_VALUE;
            for (Endpoint e : engines) {
                long score = RendezvousHash.score(key, RendezvousHash.hash(e.id()));
                boolean candidate = score < bound && (next == null || score > highest);
                if (candidate && acceptable.test(e)) {
                    highest = score;
                    next = e;
                }
            }
            if (next == null) {
                return found;
            }
            found = next;
            bound = highest;
        }
        return found;
    }
}
