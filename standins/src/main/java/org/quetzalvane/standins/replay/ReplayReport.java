package org.quetzalvane.standins.replay;

import java.util.Collection;
import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.annotation.JsonPropertyOrder;
import org.HdrHistogram.Histogram;
import org.quetzalvane.core.ResultCode;

/**
 * What a replay measured. Times in milliseconds. Immutable.
 *
 * @param trace name of the trace
 * @param seed its seed
 * @param arrived requests that arrived
 * @param finished requests that finished whole within their deadline
 * @param late requests that finished whole after their deadline
 * @param wrong broken promises of any kind
 * @param refusals refusals by code
 * @param failures failures after dispatch by code
 * @param stall load stall of dispatched requests
 * @param stallTotal sum of the load stalls of dispatched requests
 * @param stallPerRequest mean load stall over all requests that arrived
 * @param queue time from arrival to dispatch
 * @param firstPart time from arrival to the first part of an answer, of callers other than one named flood
 * @param refusalTime time from arrival to refusal
 * @param batchEfficiency used part of the batches of busy engines, from 0 to 1
 * @param loads loads started at the store
 * @param failedLoads loads that failed
 * @param maxInFlight most loads in flight
 * @param maxPerSecond most loads started in any second
 * @param maxPerTenSeconds most loads started in any ten seconds
 * @param logAppends records that the nodes appended to the log
 */
@JsonPropertyOrder(alphabetic = false)
public record ReplayReport(
        String trace,
        long seed,
        int arrived,
        int finished,
        int late,
        int wrong,
        Map<ResultCode, Integer> refusals,
        Map<ResultCode, Integer> failures,
        Quantiles stall,
        long stallTotal,
        double stallPerRequest,
        Quantiles queue,
        Quantiles firstPart,
        Quantiles refusalTime,
        double batchEfficiency,
        int loads,
        int failedLoads,
        int maxInFlight,
        int maxPerSecond,
        int maxPerTenSeconds,
        long logAppends) {

    /**
     * Quantiles of a time in milliseconds. Immutable.
     *
     * @param p50 median
     * @param p95 exceeded by 5 in 100
     * @param p99 exceeded by 1 in 100
     * @param max the greatest
     */
    public record Quantiles(long p50, long p95, long p99, long max) {

        static Quantiles of(Histogram h) {
            return new Quantiles(
                    h.getValueAtPercentile(50),
                    h.getValueAtPercentile(95),
                    h.getValueAtPercentile(99),
                    h.getMaxValue());
        }
    }

    static ReplayReport of(
            TraceHeader header, Measures m, FakeStore store, Collection<FakeEngine> engines, long appends) {
        long used = engines.stream().mapToLong(FakeEngine::usedNanos).sum();
        long busy = engines.stream().mapToLong(FakeEngine::busyNanos).sum();
        int violations = engines.stream().mapToInt(FakeEngine::violations).sum();
        return new ReplayReport(
                header.name(),
                header.seed(),
                m.arrivedCount(),
                m.finishedCount(),
                m.lateCount(),
                m.wrongCount() + violations,
                new TreeMap<>(m.refusals()),
                new TreeMap<>(m.failures()),
                Quantiles.of(m.stalls()),
                m.stallTotalMillis(),
                m.stallTotalMillis() / (double) Math.max(1, m.arrivedCount()),
                Quantiles.of(m.queues()),
                Quantiles.of(m.firstParts()),
                Quantiles.of(m.refusalTimes()),
                used / (double) Math.max(1, busy * header.batchSize()),
                store.loads(),
                m.failedLoads(),
                store.maxInFlight(),
                store.maxStarted(1_000),
                store.maxStarted(10_000),
                appends);
    }

    /** Whether the trace's stated outcomes hold. */
    public boolean satisfies(TraceHeader.ExpectedOutcomes expect) {
        double share = finished / (double) Math.max(1, arrived);
        return share >= expect.minFinishedShare()
                && wrong <= expect.maxWrong()
                && stall.p95() <= expect.maxStallP95()
                && maxPerTenSeconds <= expect.maxPerTenSeconds()
                && maxInFlight <= expect.maxInFlight();
    }
}
