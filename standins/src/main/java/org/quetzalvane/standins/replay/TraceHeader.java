package org.quetzalvane.standins.replay;

/**
 * First line of a trace: sizes of the simulated cluster and expected outcomes. Immutable.
 *
 * @param name name of the trace
 * @param seed seed that the trace was generated with
 * @param dataCentres number of data centres
 * @param nodes number of nodes
 * @param engines number of engines
 * @param slots adapter slots of each engine
 * @param batchSize requests in one batch of an engine
 * @param adapters number of adapters
 * @param loadsPerSecond load rate limit of the weight store
 * @param maxInFlight maximum number of loads in flight at full speed
 * @param loadMillis duration of a load at full speed, in milliseconds
 * @param tokenMillis time between tokens, in milliseconds
 * @param batchWeight weight of batch efficiency against load stalls, from 0 to 1
 * @param endMillis end of the replay, in milliseconds of trace time
 * @param expect outcomes that the replay checks
 */
public record TraceHeader(
        String name,
        long seed,
        int dataCentres,
        int nodes,
        int engines,
        int slots,
        int batchSize,
        int adapters,
        double loadsPerSecond,
        int maxInFlight,
        long loadMillis,
        long tokenMillis,
        double batchWeight,
        long endMillis,
        ExpectedOutcomes expect) {

    /** Returns a copy with another load rate limit. */
    TraceHeader withLoadsPerSecond(double rate) {
        return new TraceHeader(
                name,
                seed,
                dataCentres,
                nodes,
                engines,
                slots,
                batchSize,
                adapters,
                rate,
                maxInFlight,
                loadMillis,
                tokenMillis,
                batchWeight,
                endMillis,
                expect);
    }

    /** Returns a copy with other expected outcomes. */
    public TraceHeader withExpectedOutcomes(ExpectedOutcomes newExpectedOutcomes) {
        return new TraceHeader(
                name,
                seed,
                dataCentres,
                nodes,
                engines,
                slots,
                batchSize,
                adapters,
                loadsPerSecond,
                maxInFlight,
                loadMillis,
                tokenMillis,
                batchWeight,
                endMillis,
                newExpectedOutcomes);
    }

    /**
     * Expected outcomes of a replay. Immutable.
     *
     * @param minFinishedShare minimum share of requests that complete within their deadline, from 0 to 1
     * @param maxWrong maximum number of violations, such as chunks of another adapter or evictions of an adapter in
     *     use; normally 0
     * @param maxStallP95 maximum 95th percentile of the load stall, in milliseconds
     * @param maxPerTenSeconds maximum number of loads started in any ten seconds
     * @param maxInFlight maximum number of loads in flight
     */
    public record ExpectedOutcomes(
            double minFinishedShare, int maxWrong, long maxStallP95, int maxPerTenSeconds, int maxInFlight) {

        /** Returns outcomes that only forbid violations. */
        public static ExpectedOutcomes noViolations() {
            return new ExpectedOutcomes(0, 0, Long.MAX_VALUE, Integer.MAX_VALUE, Integer.MAX_VALUE);
        }
    }
}
