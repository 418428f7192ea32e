package org.quetzalvane.core.load;

import org.quetzalvane.core.model.AdapterVersion;

/**
 * Assigns a value to the load of an adapter for which requests wait; the load of the greatest value starts first. The
 * scale of the values is that of the policy. Implementations are thread-safe.
 */
@FunctionalInterface
public interface LoadPolicy {

    /** Returns the value of loading the group's adapter now. */
    double value(Group group, long nowNanos);

    /** Requests that wait for one adapter version. Valid only during the call to which it is passed. */
    interface Group {
        AdapterVersion version();

        /** Number of waiting requests. */
        int size();

        /** Monotonic time at which the first of them arrived. */
        long firstArrivalNanos();
    }

    /** Returns a policy that prefers the adapter whose first request arrived earliest. */
    static LoadPolicy firstCome() {
        return (group, now) -> now - group.firstArrivalNanos();
    }

    /** Returns a policy that prefers the adapter with the most waiting requests, and among equals the longest wait. */
    static LoadPolicy mostWaiting() {
        LoadPolicy age = firstCome();
        // The second term is below 1, so that it decides only among groups of the same size.
        return (group, now) -> group.size() + age.value(group, now) / (1e12 + age.value(group, now));
    }
}
