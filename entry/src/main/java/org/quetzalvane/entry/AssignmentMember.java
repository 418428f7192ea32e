package org.quetzalvane.entry;

import java.time.Duration;

import org.quetzalvane.core.event.EventCode;
import org.quetzalvane.core.event.StructuredLog;
import org.quetzalvane.core.store.AssignmentGroup;
import org.quetzalvane.core.team.AssignmentLease;
import org.quetzalvane.core.team.PeerTable;
import org.quetzalvane.core.time.Scheduler;
import org.quetzalvane.core.time.Stopwatch;

/**
 * Keeps this node a member of the store's group that assigns the partitions of engines to the nodes. Confined to the
 * event loop.
 */
final class AssignmentMember {
    /** Interval between joins, ms: a third of the group's TTL, so that two lost responses do not end the membership. */
    private static final long JOIN_INTERVAL_MS = 650;
    /** Delay before a join without a response is retried, ms. */
    private static final long JOIN_RETRY_MS = 300;
    /**
     * Interval between reads of the group's members, ms. Peers report each other's addresses; the list adds those that
     * no peer reports.
     */
    private static final long MEMBER_LIST_INTERVAL_MS = 5_000;
    /** Time that the seeds have to answer before the members are read, ms: a connect and a status interval. */
    private static final long FIRST_LIST_DELAY_MS = 600;

    private final Scheduler scheduler;
    private final AssignmentGroup group;
    private final AssignmentLease lease;
    private final PeerTable peers;
    private final StructuredLog log;
    private final String self;
    private final long ttlMs;
    private final Runnable changed;
    private boolean leaving;
    /** Whether this node takes part in the group; only hubs do. */
    private boolean active;
    /** Number of the current membership; a response to a join of an earlier one is ignored. */
    private int membership;

    /**
     * Creates the member; {@link #start} joins the group.
     *
     * @param membership name in the group and TTL of the membership
     * @param changed runs when the assigned partitions or the generation changed
     */
    AssignmentMember(
            Scheduler scheduler,
            AssignmentGroup group,
            AssignmentLease lease,
            PeerTable peers,
            StructuredLog log,
            Membership membership,
            Runnable changed) {
        this.scheduler = scheduler;
        this.group = group;
        this.lease = lease;
        this.peers = peers;
        this.log = log;
        this.self = membership.address();
        this.ttlMs = membership.ttlMs();
        this.changed = changed;
    }

    /**
     * Membership of this node in the group. Immutable.
     *
     * @param address name in the group: the address for peers, IP:PORT
     * @param ttlMs time without a join after which the group assigns the node's partitions to others, milliseconds
     */
    record Membership(String address, long ttlMs) {}

    /** Looks for first peers among the group's members if no seed answers. */
    void start() {
        scheduler.schedule(Duration.ofMillis(FIRST_LIST_DELAY_MS), this::findFirstPeers);
    }

    /** Joins the group, which then assigns partitions to this node, or leaves it and gives its partitions up. */
    void setActive(boolean member) {
        if (active == member || leaving) {
            return;
        }
        active = member;
        membership++;
        if (active) {
            join(membership);
            listMembers(membership);
        } else {
            group.leave(self);
            lease.release();
            changed.run();
        }
    }

    /** Leaves the group, which then assigns this node's partitions to others. */
    void leave() {
        leaving = true;
        if (active) {
            group.leave(self);
        }
    }

    private void join(int current) {
        if (leaving || current != membership) {
            return;
        }
        Stopwatch sinceSent = Stopwatch.start(scheduler);
        group.join(self, ttlMs, lease.generation(), assignment -> {
            if (leaving || current != membership) {
                return;
            }
            if (assignment != null && lease.update(assignment.generation(), assignment.partitions(), sinceSent)) {
                log.log(
                        EventCode.DUTIES_CHANGED,
                        self,
                        "generation",
                        assignment.generation(),
                        "duties",
                        assignment.partitions().size());
                changed.run();
            }
            scheduler.schedule(
                    Duration.ofMillis(assignment == null ? JOIN_RETRY_MS : JOIN_INTERVAL_MS), () -> join(current));
        });
    }

    /** Reads the members once, and at an interval while this node is one, so that separated groups of nodes meet. */
    private void listMembers(int current) {
        if (leaving || current != membership) {
            return;
        }
        group.members(addresses -> {
            if (addresses != null) {
                addresses.forEach(peers::addKnown);
            }
            if (active) {
                scheduler.schedule(Duration.ofMillis(MEMBER_LIST_INTERVAL_MS), () -> listMembers(current));
            }
        });
    }

    private void findFirstPeers() {
        if (!peers.knowsAnyNode() && !active) {
            listMembers(membership);
            scheduler.schedule(Duration.ofMillis(FIRST_LIST_DELAY_MS), this::findFirstPeers);
        }
    }
}
