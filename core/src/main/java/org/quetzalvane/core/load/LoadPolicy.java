package org.quetzalvane.core.load;

import org.quetzalvane.core.model.AdapterVersion;

/** Values the load of a waited-for adapter; the greatest goes first. Implementations are thread-safe. */
@FunctionalInterface
public interface LoadPolicy {

    /** Value of loading the group's adapter now. */
    double value(Group group, long nowNanos);

    /** Requests that wait for one adapter; seen only during a call. */
    interface Group {
        AdapterVersion version();

        /** How many wait. */
        int size();

        /** Monotonic instant at which the first of them arrived. */
        long firstArrivalNanos();
    }

    /** The adapter whose first request came first. */
    static LoadPolicy firstCome() {
        return (group, now) -> now - group.firstArrivalNanos();
    }

    /** The adapter for which most requests wait; among equals the one waited for longest. */
    static LoadPolicy mostWaiting() {
        LoadPolicy age = firstCome();
        return (group, now) -> group.size() + age.value(group, now) / (1e12 + age.value(group, now));
    }
}
