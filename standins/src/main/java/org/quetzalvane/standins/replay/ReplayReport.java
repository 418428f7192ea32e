package org.quetzalvane.standins.replay;

import java.util.Collection;
import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.annotation.JsonPropertyOrder;
import org.HdrHistogram.Histogram;
import org.quetzalvane.core.ResultCode;

/**
 * Results of a replay. Times are in milliseconds. Immutable.
 *
 * @param trace name of the trace
 * @param seed seed of the trace
 * @param arrived requests that arrived
 * @param finished requests that completed within their deadline
 * @param late requests that completed after their deadline
 * @param wrong violations of any kind, such as chunks of another adapter or evictions of an adapter in use
 * @param refusals refusals by code
 * @param failures failures after dispatch by code
 * @param stall load stall of dispatched requests
 * @param stallTotal sum of the load stalls of dispatched requests
 * @param stallPerRequest mean load stall over all requests that arrived
 * @param queue time from arrival to dispatch
 * @param firstPart time from arrival to the first chunk of the response, of all requests except those of the caller
 *     {@code flood}
 * @param refusalTime time from arrival to refusal
 * @param batchEfficiency running times of all requests, divided by batch size × time during which an engine ran at
 *     least one request, from 0 to 1
 * @param loads loads started at the store
 * @param failedLoads loads that failed
 * @param maxInFlight maximum number of loads in flight
 * @param maxPerSecond maximum number of loads started in any second
 * @param maxPerTenSeconds maximum number of loads started in any ten seconds
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
     * @param max maximum
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
            TraceHeader header,
            ReplayStatistics statistics,
            FakeStore store,
            Collection<FakeEngine> engines,
            long appends) {
        long used = engines.stream().mapToLong(FakeEngine::runningNanos).sum();
        long busy = engines.stream().mapToLong(FakeEngine::busyNanos).sum();
        int violations = engines.stream().mapToInt(FakeEngine::violations).sum();
        return new ReplayReport(
                header.name(),
                header.seed(),
                statistics.arrivedCount(),
                statistics.finishedCount(),
                statistics.lateCount(),
                statistics.violationCount() + violations,
                new TreeMap<>(statistics.refusals()),
                new TreeMap<>(statistics.failures()),
                Quantiles.of(statistics.stalls()),
                statistics.stallTotalMillis(),
                statistics.stallTotalMillis() / (double) Math.max(1, statistics.arrivedCount()),
                Quantiles.of(statistics.queues()),
                Quantiles.of(statistics.firstChunks()),
                Quantiles.of(statistics.refusalTimes()),
                used / (double) Math.max(1, busy * header.batchSize()),
                store.loads(),
                statistics.failedLoads(),
                store.maxInFlight(),
                store.maxStartsInWindow(1_000),
                store.maxStartsInWindow(10_000),
                appends);
    }

    /** Returns whether the results satisfy the expected outcomes of the trace. */
    public boolean satisfies(TraceHeader.ExpectedOutcomes expect) {
        double share = finished / (double) Math.max(1, arrived);
        return share >= expect.minFinishedShare()
                && wrong <= expect.maxWrong()
                && stall.p95() <= expect.maxStallP95()
                && maxPerTenSeconds <= expect.maxPerTenSeconds()
                && maxInFlight <= expect.maxInFlight();
    }
}
