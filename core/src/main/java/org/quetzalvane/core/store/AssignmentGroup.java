package org.quetzalvane.core.store;

import java.util.Set;
import java.util.function.Consumer;

/**
 * Port to the group of the platform's store that assigns partitions to nodes. Responses arrive on the event loop, once
 * each.
 */
public interface AssignmentGroup {

    /**
     * Response of the group. Immutable.
     *
     * @param generation fencing token, greater after each change
     * @param partitions partitions assigned to the requesting member
     */
    record Assignment(long generation, Set<Integer> partitions) {

        public Assignment {
            partitions = Set.copyOf(partitions);
        }
    }

    /**
     * Joins the group or renews the membership.
     *
     * @param member address of the node for peers
     * @param ttlMs time without a join after which the group assigns the partitions of the node to others, milliseconds
     * @param generation newest generation known to the node
     * @param done receives the assignment, or null on failure
     */
    void join(String member, long ttlMs, long generation, Consumer<Assignment> done);

    /** Reads the members to which partitions are assigned; {@code done} receives null on failure. */
    void members(Consumer<Set<String>> done);

    /** Leaves the group; does not wait for the response. */
    void leave(String member);
}
