package org.quetzalvane.core.choice;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

import org.quetzalvane.core.time.Scheduler;

/**
 * Outlier detection: suspends endpoints that cannot be reached, or that fail far more often or are far slower than
 * their peers.
 *
 * <p>Handles a single endpoint that is down or degraded among healthy ones. A failure common to all endpoints suspends
 * none, and {@link #healthy} never returns an empty list for a non-empty one. Confined to the event loop.
 */
public final class OutlierDetector {
    /**
     * First suspension, ms: it takes the platform's endpoint list 1.2 s, one heartbeat, to drop an endpoint that is
     * gone.
     */
    private static final long FIRST_SUSPENSION_MS = 1_000;
    /**
     * Longest suspension, ms: a third of the recovery bound of 12 s, so that a recovered endpoint is used again in
     * time.
     */
    private static final long MAX_SUSPENSION_MS = 4_000;
    /** Consecutive connection failures that suspend an endpoint; a single one may be the reset of one connection. */
    private static final int MIN_CONSECUTIVE_UNREACHABLE = 2;
    /** Weight of the newest outcome in the moving average of the failure rate, which covers about ten outcomes. */
    private static final double EWMA_WEIGHT = 0.1;
    /**
     * Failure rate that suspends an endpoint when its peers do better; plain services fail 0.14 of valid requests on
     * their own.
     */
    private static final double FAILURE_RATE_THRESHOLD = 0.4;

    private final Scheduler scheduler;
    private final Map<String, Health> byEndpoint = new HashMap<>();
    private final SlowEngineDetector gaps = new SlowEngineDetector();

    public OutlierDetector(Scheduler scheduler) {
        this.scheduler = scheduler;
    }

    /** Counts a request that the endpoint served correctly. */
    public void recordSuccess(String endpoint) {
        Health h = health(endpoint);
        h.consecutiveUnreachable = 0;
        h.suspensions = 0;
        h.failureRate *= 1 - EWMA_WEIGHT;
    }

    /** Counts a failed or invalid response; returns whether this suspends the endpoint. */
    public boolean recordFailure(String endpoint) {
        Health h = health(endpoint);
        h.failureRate = h.failureRate * (1 - EWMA_WEIGHT) + EWMA_WEIGHT;
        if (h.failureRate < FAILURE_RATE_THRESHOLD || h.failureRate < 2 * meanFailureRateOfOthers(endpoint)) {
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

    /** Counts an inter-token gap of a stream; returns whether this suspends the endpoint. */
    public boolean recordGap(String endpoint, double gapMs) {
        return gaps.recordGap(endpoint, gapMs) && suspend(health(endpoint));
    }

    /** Removes all state of an earlier instance of the endpoint. */
    public void reset(String endpoint) {
        byEndpoint.remove(endpoint);
        gaps.reset(endpoint);
    }

    /** The given endpoints without the suspended ones, or all of them if every one is suspended. */
    public <T> List<T> healthy(List<T> endpoints, Function<T, String> id) {
        long now = scheduler.nanoTime();
        List<T> healthy = endpoints.stream()
                .filter(e -> {
                    Health h = byEndpoint.get(id.apply(e));
                    return h == null || h.suspendedUntilNanos <= now;
                })
                .toList();
        return healthy.isEmpty() ? endpoints : healthy;
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
