package org.quetzalvane.core.team;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.quetzalvane.core.residency.EngineResidency;

/**
 * Sends the members of a hub what the hub knows. All members get the same view, so that it is encoded once: one with
 * the parts that changed since the last round, or the complete one if the member has not applied the last views or its
 * turn has come. A member of an older version gets a view of its own, without its loads. Confined to the event loop.
 */
final class ViewPublisher {
    /** Number of views after which unchanged parts are sent again, so that reports of residency stay valid. */
    private static final int VIEWS_PER_COMPLETE_VIEW = 10;
    /** Age up to which a report of an owner is passed on, ms: the time for which a peer counts as up. */
    private static final long MAX_RELAYED_REPORT_AGE_MS = PeerTable.UP_TIMEOUT_MS;
    /**
     * Views sent after the one that a member has confirmed, up to which it gets changes only: one on its way, one for
     * the difference between the intervals of the two nodes, and two for a delay. A lost view ends the confirmations.
     */
    private static final int MAX_UNCONFIRMED_VIEWS = 4;

    private final StatusExchange.Components components;
    private final StatusExchange.LocalNode local;
    private final StatusExchange.Network network;
    private long number;
    private List<NodeInfo> sentNodes = List.of();
    private Map<Integer, String> sentOwners = Map.of();
    private Map<String, EngineResidency> sentResidency = Map.of();
    /** Members of an older version that got the last view. */
    private Set<String> servedOlderMembers = Set.of();

    /**
     * Creates the publisher of a node that has sent no view.
     *
     * @param first number that is greater than those of the views of any earlier process of this node
     */
    ViewPublisher(
            StatusExchange.Components components,
            StatusExchange.LocalNode local,
            StatusExchange.Network network,
            long first) {
        this.components = components;
        this.local = local;
        this.network = network;
        this.number = first;
    }

    /** Sends a view to each node that reports to this one. */
    void publish(NodeInfo self) {
        number++;
        List<PeerMessage.Status> members = components.peers().memberStatuses();
        if (members.isEmpty()) {
            servedOlderMembers = Set.of();
            return;
        }
        PeerMessage.View complete = completeView(self, members);
        PeerMessage.View changes = changesOf(complete);
        List<String> incomplete = new ArrayList<>();
        List<String> upToDate = new ArrayList<>();
        Set<String> served = new HashSet<>();
        for (PeerMessage.Status m : members) {
            if (m.number() == 0) {
                PeerMessage.View view = viewOfOlderMember(m.from(), complete, changes);
                if (network.send(m.from(), view)) {
                    served.add(m.from());
                }
            } else {
                (needsAll(m) ? incomplete : upToDate).add(m.from());
            }
        }
        network.sendAll(incomplete, complete);
        network.sendAll(upToDate, changes);
        servedOlderMembers = served;
        sentNodes = complete.nodes();
        sentOwners = complete.owners();
        sentResidency = complete.holdings();
    }

    private boolean isTurnOf(String member) {
        return Math.floorMod(member.hashCode() + number, VIEWS_PER_COMPLETE_VIEW) == 0;
    }

    private boolean needsAll(PeerMessage.Status m) {
        long unconfirmed = number - m.viewNumber();
        return isTurnOf(m.from()) || unconfirmed < 0 || unconfirmed > MAX_UNCONFIRMED_VIEWS;
    }

    private PeerMessage.View completeView(NodeInfo self, List<PeerMessage.Status> members) {
        List<NodeInfo> nodes = new ArrayList<>(components.peers().nodes());
        nodes.add(self);
        nodes.sort(Comparator.comparing(NodeInfo::address));
        Map<Integer, String> owners = components.peers().owners();
        components.lease().owned().forEach(p -> owners.put(p, local.address()));
        Map<String, Long> included = new HashMap<>();
        for (PeerMessage.Status m : members) {
            if (m.number() != 0) {
                included.put(m.from(), m.number());
            }
        }
        return new PeerMessage.View(
                local.address(),
                nodes,
                owners,
                components.endpointLoads().all(),
                components.adapterUsage().inUseCounts(),
                components.adapterUsage().popular(),
                components.residency().reportsWithin(MAX_RELAYED_REPORT_AGE_MS),
                local.positions().get(),
                included,
                number,
                true);
    }

    /** The view without the parts that were the same in the last round. */
    private PeerMessage.View changesOf(PeerMessage.View v) {
        Map<String, EngineResidency> residency = new HashMap<>(v.holdings());
        residency.entrySet().removeIf(e -> e.getValue().equals(sentResidency.get(e.getKey())));
        return new PeerMessage.View(
                v.from(),
                v.nodes().equals(sentNodes) ? List.of() : v.nodes(),
                v.owners().equals(sentOwners) ? null : v.owners(),
                v.loads(),
                v.inUseCounts(),
                v.popular(),
                residency,
                v.records(),
                v.included(),
                v.number(),
                false);
    }

    /** A node of an older version requires the owners in each view, and loads without its own. */
    private PeerMessage.View viewOfOlderMember(String member, PeerMessage.View complete, PeerMessage.View changes) {
        boolean all = !servedOlderMembers.contains(member) || isTurnOf(member);
        return new PeerMessage.View(
                complete.from(),
                all ? complete.nodes() : changes.nodes(),
                complete.owners(),
                components.endpointLoads().allExcept(member),
                complete.inUseCounts(),
                complete.popular(),
                all ? complete.holdings() : changes.holdings(),
                complete.records(),
                null,
                number,
                all);
    }
}
