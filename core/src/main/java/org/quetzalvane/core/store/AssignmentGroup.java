package org.quetzalvane.core.store;

import java.util.Set;
import java.util.function.Consumer;

/** Port to the group of the platform's store that deals duties out. Answers arrive on the event loop, once each. */
public interface AssignmentGroup {

    /**
     * The group's answer. Immutable.
     *
     * @param generation fencing token, greater after each change
     * @param partitions numbers of the duties of the member that asked
     */
    record Assignment(long generation, Set<Integer> partitions) {

        public Assignment {
            partitions = Set.copyOf(partitions);
        }
    }

    /** Joins the group or stays in it; null when there is no answer. */
    void join(String member, long ttlMs, long generation, Consumer<Assignment> done);

    /** Names the members that hold duties; null when there is no answer. */
    void members(Consumer<Set<String>> done);

    /** Leaves the group; the answer is not waited for. */
    void leave(String member);
}
