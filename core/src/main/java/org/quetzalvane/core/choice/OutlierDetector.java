package org.quetzalvane.core.choice;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

import org.quetzalvane.core.time.Scheduler;

/**
 * Outlier detection: suspends endpoints that cannot be reached, or that fail far more often or are far slower than the
 * other endpoints.
 *
 * <p>Failure rates and gaps are compared with the other endpoints, so a failure or slowdown common to all suspends
 * none; {@link #MIN_CONSECUTIVE_UNREACHABLE} consecutive unreachable attempts suspend an endpoint in any case. {@link
 * #healthy} never returns an empty list for a non-empty one. Confined to the event loop.
 */
public final class OutlierDetector {
    /**
     * Duration of the first suspension, ms; doubled for each further one up to {@link #MAX_SUSPENSION_MS}. The
     * platform's list drops an endpoint that is down after one heartbeat, 1.2 s.
     */
    private static final long FIRST_SUSPENSION_MS = 1_000;
    /** Longest suspension, ms: a third of the 12 s within which a recovered endpoint must be used again. */
    private static final long MAX_SUSPENSION_MS = 4_000;
    /** Consecutive unreachable attempts that suspend an endpoint; a single one may be the reset of one connection. */
    private static final int MIN_CONSECUTIVE_UNREACHABLE = 2;
    /** Weight of the newest outcome in the moving average of the failure rate, which covers about ten outcomes. */
    private static final double EWMA_WEIGHT = 0.1;
    /**
     * Failure rate from which an endpoint is suspended if the rate is also at least {@link #PEER_RATE_FACTOR} times the
     * mean of the other endpoints. Endpoints of plain services fail 0.14 of valid requests without being degraded. A
     * suspension resets the rate to half of the threshold.
     */
    private static final double FAILURE_RATE_THRESHOLD = 0.4;
    /** Multiple of the mean failure rate of the other endpoints from which an endpoint is suspended. */
    private static final double PEER_RATE_FACTOR = 2;

    private final Scheduler scheduler;
    private final Map<String, Health> byEndpoint = new HashMap<>();
    private final SlowEngineDetector slowEngineDetector = new SlowEngineDetector();

    public OutlierDetector(Scheduler scheduler) {
        this.scheduler = scheduler;
    }

    /** Counts a complete response with a status below 500. */
    public void recordSuccess(String endpoint) {
        Health h = health(endpoint);
        h.consecutiveUnreachable = 0;
        h.suspensions = 0;
        h.failureRate *= 1 - EWMA_WEIGHT;
    }

    /**
     * Counts an incomplete or invalid response or one with a status of 500 and above; returns whether this suspends the
     * endpoint. An attempt without progress is counted both here and by {@link #recordUnreachable}.
     */
    public boolean recordFailure(String endpoint) {
        Health h = health(endpoint);
        h.failureRate = h.failureRate * (1 - EWMA_WEIGHT) + EWMA_WEIGHT;
        if (h.failureRate < FAILURE_RATE_THRESHOLD
                || h.failureRate < PEER_RATE_FACTOR * meanFailureRateOfOthers(endpoint)) {
            return false;
        }
        h.failureRate = FAILURE_RATE_THRESHOLD / 2;
        return suspend(h);
    }

    /**
     * Counts a connection that could not be made or an attempt that made no progress; returns whether this suspends the
     * endpoint.
     */
    public boolean recordUnreachable(String endpoint) {
        Health h = health(endpoint);
        h.consecutiveUnreachable++;
        return h.consecutiveUnreachable >= MIN_CONSECUTIVE_UNREACHABLE && suspend(h);
    }

    /** Counts a gap between two chunks of a response, in ms; returns whether this suspends the endpoint. */
    public boolean recordGap(String endpoint, double gapMs) {
        return slowEngineDetector.recordGap(endpoint, gapMs) && suspend(health(endpoint));
    }

    /** Removes all state of an earlier instance of the endpoint. */
    public void reset(String endpoint) {
        byEndpoint.remove(endpoint);
        slowEngineDetector.reset(endpoint);
    }

    /** The given endpoints without the suspended ones, or all of them if every one is suspended. */
    public <T> List<T> healthy(List<T> endpoints, Function<T, String> id) {
        List<T> healthy =
                endpoints.stream().filter(e -> !isSuspended(id.apply(e))).toList();
        return healthy.isEmpty() ? endpoints : healthy;
    }

    /** Whether an endpoint is suspended now. */
    public boolean isSuspended(String endpoint) {
        Health h = byEndpoint.get(endpoint);
        return h != null && h.suspendedUntilNanos > scheduler.nanoTime();
    }

    private boolean suspend(Health h) {
        long now = scheduler.nanoTime();
        if (h.suspendedUntilNanos > now) {
            return false;
        }
        long durationMs = Math.min(MAX_SUSPENSION_MS, FIRST_SUSPENSION_MS << Math.min(h.suspensions, 2));
        h.suspensions++;
        h.suspendedUntilNanos = now + durationMs * 1_000_000;
        return true;
    }

    private double meanFailureRateOfOthers(String endpoint) {
        return byEndpoint.entrySet().stream()
                .filter(e -> !e.getKey().equals(endpoint))
                .mapToDouble(e -> e.getValue().failureRate)
                .average()
                .orElse(0);
    }

    private Health health(String endpoint) {
        return byEndpoint.computeIfAbsent(endpoint, e -> new Health());
    }

    private static final class Health {
        private int consecutiveUnreachable;
        private int suspensions;
        private double failureRate;
        private long suspendedUntilNanos;
    }
}
