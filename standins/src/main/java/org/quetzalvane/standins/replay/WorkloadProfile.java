package org.quetzalvane.standins.replay;

import java.util.Locale;

/**
 * A user's sizes and habits, from which traces are generated. Immutable.
 *
 * @param name name of the profile
 * @param nodes number of nodes
 * @param engines number of engines
 * @param adapters number of adapters
 * @param loadsPerSecond loads a second that the weight store allows
 * @param requestsPerSecond mean rate of requests at load 1
 * @param callers number of callers
 * @param tokens mean length of an answer, in tokens
 * @param deadlineMillis time from arrival to the deadline of ordinary requests, in milliseconds
 * @param burst whether bursts with a common deadline come on top
 * @param batchWeight weight of full batches against short waits, from 0 to 1
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
        boolean burst,
        double batchWeight) {

    /** Bulletins and summaries in bursts before a deadline. */
    public static WorkloadProfile vozes() {
        return new WorkloadProfile("vozes", 8, 6, 3000, 2, 4, 40, 120, 60_000, true, 0.7);
    }

    /** Live callers all season. */
    public static WorkloadProfile coldwater() {
        return new WorkloadProfile("coldwater", 9, 8, 3000, 3, 8, 60, 60, 10_000, false, 0.3);
    }

    /** The profile of a name; fails with {@link IllegalArgumentException}. */
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
