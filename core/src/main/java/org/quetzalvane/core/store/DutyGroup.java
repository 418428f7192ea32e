package org.quetzalvane.core.store;

import java.util.Set;
import java.util.function.Consumer;

/** Port to the group of the platform's store that deals duties out. Answers arrive on the event loop, once each. */
public interface DutyGroup {

    /**
     * The group's answer. Immutable.
     *
     * @param generation fencing token, greater after each change
     * @param duties numbers of the duties of the member that asked
     */
    record Joined(long generation, Set<Integer> duties) {

        public Joined {
            duties = Set.copyOf(duties);
        }
    }

    /** Joins the group or stays in it; null when there is no answer. */
    void join(String member, long ttlMs, long generation, Consumer<Joined> done);

    /** Names the members that hold duties; null when there is no answer. */
    void members(Consumer<Set<String>> done);

    /** Leaves the group; the answer is not waited for. */
    void leave(String member);
}
