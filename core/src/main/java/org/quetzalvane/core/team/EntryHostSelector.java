package org.quetzalvane.core.team;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;

import org.quetzalvane.core.cluster.RendezvousHash;

/**
 * Selects the entry hosts that a directory names to callers: all that are ready, or as many as callers accept.
 *
 * <p>Callers pick one of the addresses at random and give up connections to addresses that a later response lacks. So
 * the selection of one directory stays the same while the hosts stay the same, those of different directories differ,
 * and a host is named more often the more capacity it has. Naming the same hosts everywhere would leave the others
 * without work. Stateless and thread-safe.
 */
public final class EntryHostSelector {
    /** Largest number of addresses in a response of the directory. */
    static final int MAX_HOSTS = 64;

    private EntryHostSelector() {}

    /**
     * The hosts to name.
     *
     * @param nodes all nodes that are up
     * @param directory name of the directory that responds
     */
    public static List<NodeInfo> select(Collection<NodeInfo> nodes, String directory) {
        List<NodeInfo> ready =
                nodes.stream().filter(n -> n.ready() && !n.leaving()).toList();
        if (ready.size() <= MAX_HOSTS) {
            return ready;
        }
        return ready.stream()
                .sorted(Comparator.<NodeInfo>comparingDouble(
                                n -> RendezvousHash.weightedScore(directory, n.address(), Math.max(1, n.capacity())))
                        .reversed()
                        .thenComparing(NodeInfo::address))
                .limit(MAX_HOSTS)
                .toList();
    }
}
