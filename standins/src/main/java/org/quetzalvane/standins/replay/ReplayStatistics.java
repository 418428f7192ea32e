package org.quetzalvane.standins.replay;

import java.util.Map;
import java.util.TreeMap;

import org.HdrHistogram.Histogram;
import org.quetzalvane.core.ResultCode;
import org.quetzalvane.core.load.DispatchListener;

/** Statistics collected during a replay; times in milliseconds. Not thread-safe. */
final class ReplayStatistics implements DispatchListener {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final int SIGNIFICANT_DIGITS = 3;

    private final Histogram stallMillis = new Histogram(SIGNIFICANT_DIGITS);
    private final Histogram queueMillis = new Histogram(SIGNIFICANT_DIGITS);
    private final Histogram firstChunkMillis = new Histogram(SIGNIFICANT_DIGITS);
    private final Histogram refusalMillis = new Histogram(SIGNIFICANT_DIGITS);
    private final Map<ResultCode, Integer> refusals = new TreeMap<>();
    private final Map<ResultCode, Integer> failures = new TreeMap<>();
    private long stallTotalMillis;
    private int arrived;
    private int finished;
    private int late;
    private int violations;
    private int failedLoads;

    @Override
    public void dispatched(long queuedNanos, long loadStallNanos) {
        queueMillis.recordValue(queuedNanos / NANOS_PER_MILLI);
        stallMillis.recordValue(loadStallNanos / NANOS_PER_MILLI);
        stallTotalMillis += loadStallNanos / NANOS_PER_MILLI;
    }

    /** Does nothing: {@link ReplayCallers} records refusals. */
    @Override
    public void refused(ResultCode code) {}

    @Override
    public void batchOccupancy(int running, int batchSize, long nanos) {}

    @Override
    public void loadEnded(boolean successful, long nanos) {
        failedLoads += successful ? 0 : 1;
    }

    /** Records the time to the first chunk of a response to any caller but the flooding one. */
    void recordFirstChunk(long afterMillis) {
        firstChunkMillis.recordValue(afterMillis);
    }

    Histogram firstChunks() {
        return firstChunkMillis;
    }

    void recordArrival() {
        arrived++;
    }

    void recordFinish(boolean inTime) {
        finished += inTime ? 1 : 0;
        late += inTime ? 0 : 1;
    }

    void recordRefusal(ResultCode code, long afterMillis) {
        refusals.merge(code, 1, Integer::sum);
        refusalMillis.recordValue(afterMillis);
    }

    void recordFailure(ResultCode code) {
        failures.merge(code, 1, Integer::sum);
    }

    void recordViolation() {
        violations++;
    }

    int arrivedCount() {
        return arrived;
    }

    int finishedCount() {
        return finished;
    }

    int violationCount() {
        return violations;
    }

    int lateCount() {
        return late;
    }

    int failedLoads() {
        return failedLoads;
    }

    long stallTotalMillis() {
        return stallTotalMillis;
    }

    Histogram stalls() {
        return stallMillis;
    }

    Histogram queues() {
        return queueMillis;
    }

    Histogram refusalTimes() {
        return refusalMillis;
    }

    Map<ResultCode, Integer> refusals() {
        return refusals;
    }

    Map<ResultCode, Integer> failures() {
        return failures;
    }
}
