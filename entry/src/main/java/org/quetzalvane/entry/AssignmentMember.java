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
    /**
     * Interval between joins after a change of the assignment, ms: the group moves a partition only when its former
     * owner joins under the new generation.
     */
    private static final long JOIN_INTERVAL_AFTER_CHANGE_MS = 150;
    /** Number of joins without a change after which the usual interval applies again. */
    private static final int UNCHANGED_JOINS = 3;
    /** Delay before a join without a response is retried, ms. */
    private static final long JOIN_RETRY_MS = 300;
    /**
     * Time after which a join whose response led to no next one is sent again, ms: longer than a call takes to fail,
     * half of the group's TTL.
     */
    private static final long JOIN_OVERDUE_MS = 1_500;
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
    private final Listeners listeners;
    private boolean leaving;
    /** Whether this node takes part in the group; only hubs do. */
    private boolean active;
    /** Number of the current membership; a response to a join of an earlier one is ignored. */
    private int membership;

    private int unchangedJoins;
    /** Number of the last join; only its response decides when the next one is sent. */
    private long lastJoin;

    /**
     * Creates the member; {@link #setActive} joins the group.
     *
     * @param membership name in the group and TTL of the membership
     */
    AssignmentMember(
            Scheduler scheduler,
            AssignmentGroup group,
            AssignmentLease lease,
            PeerTable peers,
            StructuredLog log,
            Membership membership,
            Listeners listeners) {
        this.scheduler = scheduler;
        this.group = group;
        this.lease = lease;
        this.peers = peers;
        this.log = log;
        this.self = membership.address();
        this.ttlMs = membership.ttlMs();
        this.listeners = listeners;
    }

    /**
     * What the member tells its node. Immutable.
     *
     * @param changed runs when the assigned partitions or the generation changed
     * @param stillListed runs when the group lists this node at its start, from an earlier run of its process
     */
    record Listeners(Runnable changed, Runnable stillListed) {}

    /**
     * Membership of this node in the group. Immutable.
     *
     * @param address name in the group: the address for peers, IP:PORT
     * @param ttlMs time without a join after which the group assigns the node's partitions to others, milliseconds
     */
    record Membership(String address, long ttlMs) {}

    /**
     * Takes part again at once if the group still lists this node, before its partitions are assigned to others; looks
     * for first peers among the group's members if no seed answers.
     */
    void start() {
        group.members(addresses -> {
            if (addresses != null && addresses.contains(self) && !leaving) {
                peers.resumeOwner(addresses);
                listeners.stillListed().run();
            }
        });
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
            listeners.changed().run();
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
        long number = ++lastJoin;
        Stopwatch sinceSent = Stopwatch.start(scheduler);
        Scheduler.Timer overdue = scheduler.schedule(Duration.ofMillis(JOIN_OVERDUE_MS), () -> join(current));
        group.join(self, ttlMs, lease.generation(), assignment -> {
            if (leaving || current != membership) {
                return;
            }
            boolean moved =
                    assignment != null && lease.update(assignment.generation(), assignment.partitions(), sinceSent);
            unchangedJoins = moved ? 0 : unchangedJoins + 1;
            if (number == lastJoin) {
                overdue.cancel();
                scheduler.schedule(Duration.ofMillis(nextJoinMs(assignment != null)), () -> join(current));
            }
            // Last, since a failure must not end the joins.
            if (moved) {
                assignmentMoved(assignment);
            }
        });
    }

    private void assignmentMoved(AssignmentGroup.Assignment a) {
        log.log(
                EventCode.DUTIES_CHANGED,
                self,
                "generation",
                a.generation(),
                "duties",
                a.partitions().size());
        listeners.changed().run();
    }

    private long nextJoinMs(boolean answered) {
        if (!answered) {
            return JOIN_RETRY_MS;
        }
        return unchangedJoins < UNCHANGED_JOINS ? JOIN_INTERVAL_AFTER_CHANGE_MS : JOIN_INTERVAL_MS;
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
