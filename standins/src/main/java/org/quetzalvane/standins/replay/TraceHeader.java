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
        long endMillis,
        Expect expect) {

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
                endMillis,
                expect);
    }

    /**
     * Stated outcomes. Immutable.
     *
     * @param minFinishedShare least share of requests that finish whole, from 0 to 1
     * @param maxWrong most answers of a wrong adapter, evictions in use and other broken promises; normally 0
     */
    public record Expect(double minFinishedShare, int maxWrong) {}
}
