package org.quetzalvane.core.team;

import java.util.LinkedHashMap;
import java.util.Map;

import org.quetzalvane.core.choice.EndpointLoads;

/**
 * The endpoint loads that this node reported last, by the number of the status. A hub sends one view to all its
 * members, so each of them subtracts from the loads in it exactly what the hub had from that member. Confined to the
 * event loop.
 */
final class ReportedLoads {
    /**
     * Number of statuses kept. A hub drops a status after {@link PeerTable#UP_TIMEOUT_MS}, four intervals; more are
     * sent only when the node starts to drain.
     */
    private static final int KEPT = 16;

    private final Map<Long, Map<String, EndpointLoads.Load>> byNumber = new LinkedHashMap<>();
    private long last;

    /**
     * Creates the history of a node that has reported nothing.
     *
     * @param first number that is greater than those of any earlier process of this node
     */
    ReportedLoads(long first) {
        last = first;
    }

    /** Stores the loads of the next status; returns its number. */
    long add(Map<String, EndpointLoads.Load> loads) {
        last++;
        byNumber.put(last, loads);
        byNumber.remove(last - KEPT);
        return last;
    }

    /**
     * The loads of a view without those of this node, or null if the view includes a status that is not known here,
     * such as one of an earlier process.
     */
    Map<String, EndpointLoads.Load> loadsOfOthers(PeerMessage.View v, String self) {
        Long number = v.included() == null ? null : v.included().get(self);
        if (number == null) {
            return v.loads();
        }
        Map<String, EndpointLoads.Load> own = byNumber.get(number);
        return own == null ? null : EndpointLoads.difference(v.loads(), own);
    }
}
