package org.quetzalvane.standins.replay;

import java.util.Locale;

/**
 * Sizes and request pattern of a workload, from which traces are generated. Immutable.
 *
 * @param name name of the profile
 * @param nodes number of nodes
 * @param engines number of engines
 * @param adapters number of adapters
 * @param loadsPerSecond load rate limit of the weight store
 * @param requestsPerSecond mean request rate at a rate factor of 1
 * @param callers number of callers
 * @param tokens mean length of a response, in tokens
 * @param deadlineMillis time from arrival to the deadline of ordinary requests, in milliseconds
 * @param hasBursts whether there are additional bursts with a common deadline
 * @param batchWeight weight of batch efficiency against load stalls, from 0 to 1
 */
public record WorkloadProfile(
        String name,
        int nodes,
        int engines,
        int adapters,
        double loadsPerSecond,
        double requestsPerSecond,
        int callers,
        int tokens,
        long deadlineMillis,
        boolean hasBursts,
        double batchWeight) {

    /**
     * Workload {@code vozes}: 4 requests per second for 3000 adapters with a deadline of 60 s, and bursts with a common
     * deadline, as for bulletins and summaries.
     */
    public static WorkloadProfile vozes() {
        return new WorkloadProfile("vozes", 8, 6, 3000, 2, 4, 40, 120, 60_000, true, 0.7);
    }

    /**
     * Workload {@code coldwater}: a steady rate of 8 requests per second for 3000 adapters with a deadline of 10 s, as
     * from interactive callers.
     */
    public static WorkloadProfile coldwater() {
        return new WorkloadProfile("coldwater", 9, 8, 3000, 3, 8, 60, 60, 10_000, false, 0.3);
    }

    /** Returns the profile with the given name; fails with {@link IllegalArgumentException} if there is none. */
    public static WorkloadProfile of(String name) {
        switch (name.toLowerCase(Locale.ROOT)) {
            case "vozes":
                return vozes();
            case "coldwater":
                return coldwater();
            default:
                throw new IllegalArgumentException("unknown profile " + name + "; known: vozes, coldwater");
        }
    }
}
