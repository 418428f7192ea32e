package org.quetzalvane.entry;

import java.time.Duration;

import org.quetzalvane.core.event.EventCode;
import org.quetzalvane.core.event.StructuredLog;
import org.quetzalvane.core.store.AssignmentGroup;
import org.quetzalvane.core.team.AssignmentLease;
import org.quetzalvane.core.team.PeerTable;
import org.quetzalvane.core.time.Scheduler;

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

    private final Scheduler scheduler;
    private final AssignmentGroup group;
    private final AssignmentLease lease;
    private final PeerTable peers;
    private final StructuredLog log;
    private final String self;
    private final long ttlMs;
    private final Runnable changed;
    private boolean leaving;

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

    void start() {
        join();
        listMembers();
    }

    /** Leaves the group, which then assigns this node's partitions to others. */
    void leave() {
        leaving = true;
        group.leave(self);
    }

    private void join() {
        if (leaving) {
            return;
        }
        long sentNanos = scheduler.nanoTime();
        group.join(self, ttlMs, lease.generation(), assignment -> {
            if (leaving) {
                return;
            }
            if (assignment != null && lease.update(assignment.generation(), assignment.partitions(), sentNanos)) {
                log.log(
                        EventCode.DUTIES_CHANGED,
                        self,
                        "generation",
                        assignment.generation(),
                        "duties",
                        assignment.partitions().size());
                changed.run();
            }
            scheduler.schedule(Duration.ofMillis(assignment == null ? JOIN_RETRY_MS : JOIN_INTERVAL_MS), this::join);
        });
    }

    private void listMembers() {
        if (leaving) {
            return;
        }
        group.members(addresses -> {
            if (addresses != null) {
                addresses.forEach(peers::addKnown);
            }
            scheduler.schedule(Duration.ofMillis(MEMBER_LIST_INTERVAL_MS), this::listMembers);
        });
    }
}
