package org.quetzalvane.standins.replay;

import java.util.Map;
import java.util.TreeMap;

import org.HdrHistogram.Histogram;
import org.quetzalvane.core.ResultCode;
import org.quetzalvane.core.load.DispatchListener;

/** What a replay measures; times in milliseconds. Used by the replaying thread only. */
final class Measures implements DispatchListener {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final int DIGITS = 3;

    private final Histogram stallMillis = new Histogram(DIGITS);
    private final Histogram queueMillis = new Histogram(DIGITS);
    private final Histogram firstPartMillis = new Histogram(DIGITS);
    private final Histogram refusalMillis = new Histogram(DIGITS);
    private final Map<ResultCode, Integer> refusals = new TreeMap<>();
    private final Map<ResultCode, Integer> failures = new TreeMap<>();
    private long stallTotalMillis;
    private int arrived;
    private int finished;
    private int late;
    private int wrong;
    private int failedLoads;

    @Override
    public void dispatched(long queuedNanos, long loadStallNanos) {
        queueMillis.recordValue(queuedNanos / NANOS_PER_MILLI);
        stallMillis.recordValue(loadStallNanos / NANOS_PER_MILLI);
        stallTotalMillis += loadStallNanos / NANOS_PER_MILLI;
    }

    @Override
    public void refused(ResultCode code) {}

    @Override
    public void batchOccupancy(int running, int batchSize, long nanos) {}

    @Override
    public void loadFinished(boolean successful, long nanos) {
        failedLoads += successful ? 0 : 1;
    }

    /** The first part of an answer came to a caller other than the one that floods. */
    void firstPart(long afterMillis) {
        firstPartMillis.recordValue(afterMillis);
    }

    Histogram firstParts() {
        return firstPartMillis;
    }

    void arrived() {
        arrived++;
    }

    void finished(boolean inTime) {
        finished += inTime ? 1 : 0;
        late += inTime ? 0 : 1;
    }

    void refused(ResultCode code, long afterMillis) {
        refusals.merge(code, 1, Integer::sum);
        refusalMillis.recordValue(afterMillis);
    }

    void failed(ResultCode code) {
        failures.merge(code, 1, Integer::sum);
    }

    void wrong() {
        wrong++;
    }

    int arrivedCount() {
        return arrived;
    }

    int finishedCount() {
        return finished;
    }

    int wrongCount() {
        return wrong;
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
