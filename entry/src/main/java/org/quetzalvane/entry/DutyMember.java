package org.quetzalvane.entry;

import java.time.Duration;

import org.quetzalvane.core.event.EventCode;
import org.quetzalvane.core.event.StructuredLog;
import org.quetzalvane.core.store.AssignmentGroup;
import org.quetzalvane.core.team.AssignmentLease;
import org.quetzalvane.core.team.PeerTable;
import org.quetzalvane.core.time.Scheduler;

/** Keeps this node in the group that deals the duties out. Confined to the event loop. */
final class DutyMember {
    /** Pause between two joins, ms: a third of the time of silence, so that two lost answers cost nothing. */
    private static final long JOIN_MS = 650;
    /** Pause after a join without an answer, ms. */
    private static final long RETRY_MS = 300;
    /**
     * Pause between two looks at the group's members, ms: peers name each other, this finds those that nobody names.
     */
    private static final long MEMBERS_MS = 5_000;

    private final Scheduler scheduler;
    private final AssignmentGroup group;
    private final AssignmentLease lease;
    private final PeerTable peers;
    private final StructuredLog log;
    private final String self;
    private final long ttlMs;
    private final Runnable changed;
    private boolean left;

    /**
     * Builds the member.
     *
     * @param ttlMs time of silence after which the group deals its duties to others, milliseconds
     * @param changed runs when other duties or a newer generation were confirmed
     */
    DutyMember(
            Scheduler scheduler,
            AssignmentGroup group,
            AssignmentLease lease,
            PeerTable peers,
            StructuredLog log,
            Identity identity,
            Runnable changed) {
        this.scheduler = scheduler;
        this.group = group;
        this.lease = lease;
        this.peers = peers;
        this.log = log;
        this.self = identity.address();
        this.ttlMs = identity.ttlMs();
        this.changed = changed;
    }

    /** Name in the group, and the time of silence after which its duties are dealt to others, milliseconds. */
    record Identity(String address, long ttlMs) {}

    void start() {
        join();
        members();
    }

    /** Gives all duties back. */
    void leave() {
        left = true;
        group.leave(self);
    }

    private void join() {
        if (left) {
            return;
        }
        long sent = scheduler.nanoTime();
        group.join(self, ttlMs, lease.generation(), answer -> {
            if (left) {
                return;
            }
            if (answer != null && lease.update(answer.generation(), answer.partitions(), sent)) {
                log.log(
                        EventCode.DUTIES_CHANGED,
                        self,
                        "generation",
                        answer.generation(),
                        "duties",
                        answer.partitions().size());
                changed.run();
            }
            scheduler.schedule(Duration.ofMillis(answer == null ? RETRY_MS : JOIN_MS), this::join);
        });
    }

    private void members() {
        if (left) {
            return;
        }
        group.members(names -> {
            if (names != null) {
                names.forEach(peers::addKnown);
            }
            scheduler.schedule(Duration.ofMillis(MEMBERS_MS), this::members);
        });
    }
}
