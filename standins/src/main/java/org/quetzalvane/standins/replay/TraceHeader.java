package org.quetzalvane.standins.replay;

/**
 * First line of a trace: the sizes it was recorded at and the outcomes it must have. Immutable.
 *
 * @param name name of the trace
 * @param seed seed it was generated with
 * @param dataCentres number of data centres
 * @param nodes number of nodes
 * @param engines number of engines
 * @param slots adapter slots of each engine
 * @param batchSize requests in one batch of an engine
 * @param adapters number of adapters
 * @param loadsPerSecond loads a second that the weight store allows
 * @param maxInFlight loads in flight at full speed
 * @param loadMillis duration of a load at full speed, in milliseconds
 * @param tokenMillis time between tokens, in milliseconds
 * @param batchWeight the user's weight of full batches against short waits, from 0 to 1
 * @param endMillis when the replay ends, in milliseconds of trace time
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

    /** A copy with another rate of the weight store. */
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

    /** A copy with other stated outcomes. */
    public TraceHeader withExpect(ExpectedOutcomes newExpect) {
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
                newExpect);
    }

    /**
     * Stated outcomes. Immutable.
     *
     * @param minFinishedShare least share of requests that finish whole, from 0 to 1
     * @param maxWrong most answers of a wrong adapter, evictions in use and other broken promises; normally 0
     * @param maxStallP95 greatest 95th percentile of the load stall, in milliseconds
     * @param maxPerTenSeconds most loads that may start in any ten seconds
     * @param maxInFlight most loads that may be in flight
     */
    public record ExpectedOutcomes(
            double minFinishedShare, int maxWrong, long maxStallP95, int maxPerTenSeconds, int maxInFlight) {

        /** Expects nothing but that no promise is broken. */
        public static ExpectedOutcomes nothingWrong() {
            return new ExpectedOutcomes(0, 0, Long.MAX_VALUE, Integer.MAX_VALUE, Integer.MAX_VALUE);
        }
    }
}
