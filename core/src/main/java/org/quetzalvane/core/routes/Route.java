package org.quetzalvane.core.routes;

import java.util.List;

import net.openhft.hashing.LongHashFunction;

/**
 * One route of the configuration. Immutable.
 *
 * @param name name
 * @param host host that callers name
 * @param prefix path prefix, begins and ends with a slash
 * @param kind what may be repeated
 * @param timeoutMs longest time a request may be kept, in milliseconds
 * @param objectiveMs latency objective in milliseconds: to the whole answer, for streams to the first event
 * @param priority rank, 0 is the highest
 * @param splits services with their weights, at least one
 * @param maxAttempts endpoints to which one request may be sent
 * @param resumable whether a broken stream may go on at another endpoint
 * @param maxGapMs longest pause between events of a stream that is still on time, in milliseconds
 */
public record Route(
        String name,
        String host,
        String prefix,
        RouteKind kind,
        long timeoutMs,
        long objectiveMs,
        int priority,
        List<TrafficSplit> splits,
        int maxAttempts,
        boolean resumable,
        long maxGapMs) {

    /** Least silence after which callers of streams leave, ms; published with the other two factors. */
    private static final long LEAST_PATIENCE_MS = 2_000;

    private static final int PATIENCE_OBJECTIVES = 4;
    private static final int PATIENCE_GAPS = 8;

    public Route {
        splits = List.copyOf(splits);
    }

    /** The service for a request; the same request id always falls to the same service. */
    public String serviceFor(String requestId) {
        if (splits.size() == 1) {
            return splits.get(0).service();
        }
        long total = splits.stream().mapToLong(TrafficSplit::weight).sum();
        long point = Long.remainderUnsigned(LongHashFunction.xx().hashChars(requestId), Math.max(1, total));
        for (TrafficSplit s : splits) {
            point -= s.weight();
            if (point < 0) {
                return s.service();
            }
        }
        return splits.get(splits.size() - 1).service();
    }

    /** Silence before or within a stream after which its caller leaves, ms. */
    public long callerIdleTimeoutMs() {
        long byRoute = Math.max(PATIENCE_OBJECTIVES * objectiveMs, PATIENCE_GAPS * maxGapMs);
        return Math.max(LEAST_PATIENCE_MS, byRoute);
    }

    /** Whether a request may be sent again after an attempt that may have run. */
    public boolean retryable() {
        return kind == RouteKind.IDEMPOTENT || kind == RouteKind.STREAMING && resumable;
    }
}
