package org.quetzalvane.core.routes;

import java.util.List;

import net.openhft.hashing.LongHashFunction;

/**
 * A route of the configuration. Immutable.
 *
 * @param name name of the route
 * @param host host name that callers use
 * @param prefix path prefix, begins and ends with a slash
 * @param kind retry and response behaviour
 * @param timeoutMs longest time that a request may take, in milliseconds
 * @param objectiveMs latency objective in milliseconds: to the complete response, for streams to the first event
 * @param priority priority, 0 is the highest
 * @param splits services with their weights, at least one
 * @param maxAttempts attempts of one request that may have run; refused attempts and failed connections do not count
 * @param resumable whether another endpoint may continue a stream that was broken off
 * @param gapObjectiveMs objective for the gap between events of a stream, in milliseconds
 * @param isPublic whether a request needs no API key
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
        long gapObjectiveMs,
        boolean isPublic) {

    /**
     * Shortest idle timeout of callers of streams, ms; published by the platform together with the two factors below.
     */
    private static final long MIN_CALLER_IDLE_TIMEOUT_MS = 2_000;

    /** Idle timeout of callers as a multiple of the latency objective. */
    private static final int IDLE_TIMEOUT_OBJECTIVES = 4;
    /** Idle timeout of callers as a multiple of the objective for gaps. */
    private static final int IDLE_TIMEOUT_GAPS = 8;

    public Route {
        splits = List.copyOf(splits);
    }

    /** This route with another priority. */
    public Route withPriority(int other) {
        return new Route(
                name,
                host,
                prefix,
                kind,
                timeoutMs,
                objectiveMs,
                other,
                splits,
                maxAttempts,
                resumable,
                gapObjectiveMs,
                isPublic);
    }

    /** The service for a request; the same request id always maps to the same service. */
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

    /**
     * Idle time, before the first event or between events, after which callers disconnect, ms: the largest of {@link
     * #MIN_CALLER_IDLE_TIMEOUT_MS} and the multiples of the two objectives.
     */
    public long callerIdleTimeoutMs() {
        long byRoute = Math.max(IDLE_TIMEOUT_OBJECTIVES * objectiveMs, IDLE_TIMEOUT_GAPS * gapObjectiveMs);
        return Math.max(MIN_CALLER_IDLE_TIMEOUT_MS, byRoute);
    }

    /** Whether a request may be retried after an attempt that may have run. */
    public boolean retryable() {
        return kind == RouteKind.IDEMPOTENT || kind == RouteKind.STREAMING && resumable;
    }
}
