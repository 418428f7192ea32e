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

    /** Joins the group or renews the membership; null if there is no response. */
    void join(String member, long ttlMs, long generation, Consumer<Assignment> done);

    /** Reads the members to which partitions are assigned; null if there is no response. */
    void members(Consumer<Set<String>> done);

    /** Leaves the group without waiting for the response. */
    void leave(String member);
}
