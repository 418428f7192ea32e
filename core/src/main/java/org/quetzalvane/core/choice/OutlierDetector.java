package org.quetzalvane.core.choice;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

import org.quetzalvane.core.time.Scheduler;

/**
 * Suspends endpoints that cannot be reached, fail far more often than their peers or are far slower.
 *
 * <p>Answers the pattern of one grey or dark endpoint among sound ones. A failure that every endpoint shows alike
 * suspends none, and {@link #healthy} never leaves an empty choice. Confined to the event loop.
 */
public final class OutlierDetector {
    /** First suspension, ms: a heartbeat of the platform's list takes 1.2 s to show that an endpoint is gone. */
    private static final long FIRST_SUSPENSION_MS = 1_000;
    /**
     * Longest suspension, ms: a third of the recovery bound of 12 s, so that a healed endpoint serves again in time.
     */
    private static final long LONGEST_SUSPENSION_MS = 4_000;
    /** Connection failures in a row that suspend; one may be a reset of a single connection. */
    private static final int UNREACHABLE_IN_ROW = 2;
    /** Weight of the newest outcome in the failure rate; about ten outcomes are remembered. */
    private static final double NEWEST_WEIGHT = 0.1;
    /**
     * Failure rate that suspends when peers do better; the plain services fail 0.14 of sound requests by themselves.
     */
    private static final double SUSPENDING_RATE = 0.4;

    private final Scheduler scheduler;
    private final Map<String, Health> byEndpoint = new HashMap<>();
    private final Paces paces = new Paces();

    public OutlierDetector(Scheduler scheduler) {
        this.scheduler = scheduler;
    }

    /** Counts a request that the endpoint answered as it should. */
    public void recordSuccess(String endpoint) {
        Health h = health(endpoint);
        h.inRow = 0;
        h.suspensions = 0;
        h.rate *= 1 - NEWEST_WEIGHT;
    }

    /** Counts a failed or spoiled answer; tells whether the endpoint is suspended from now. */
    public boolean recordFailure(String endpoint) {
        Health h = health(endpoint);
        h.rate = h.rate * (1 - NEWEST_WEIGHT) + NEWEST_WEIGHT;
        if (h.rate < SUSPENDING_RATE || h.rate < 2 * meanRateOfOthers(endpoint)) {
            return false;
        }
        h.rate = SUSPENDING_RATE / 2;
        return suspend(h);
    }

    /**
     * Counts a connection that could not be made or stayed silent; tells whether the endpoint is suspended from now.
     */
    public boolean recordUnreachable(String endpoint) {
        Health h = health(endpoint);
        h.inRow++;
        return h.inRow >= UNREACHABLE_IN_ROW && suspend(h);
    }

    /** Counts a pause between two events of a stream; tells whether the endpoint is suspended from now. */
    public boolean recordGap(String endpoint, double ms) {
        return paces.slow(endpoint, ms) && suspend(health(endpoint));
    }

    /** Forgets what was seen of an earlier life of the endpoint. */
    public void reset(String endpoint) {
        byEndpoint.remove(endpoint);
        paces.reset(endpoint);
    }

    /** The given endpoint ids without suspended ones, or all of them when every one is suspended. */
    public <T> List<T> healthy(List<T> endpoints, Function<T, String> id) {
        long now = scheduler.nanoTime();
        List<T> sound = endpoints.stream()
                .filter(e -> {
                    Health h = byEndpoint.get(id.apply(e));
                    return h == null || h.suspendedUntil <= now;
                })
                .toList();
        return sound.isEmpty() ? endpoints : sound;
    }

    private boolean suspend(Health h) {
        long now = scheduler.nanoTime();
        if (h.suspendedUntil > now) {
            return false;
        }
        long ms = Math.min(LONGEST_SUSPENSION_MS, FIRST_SUSPENSION_MS << Math.min(h.suspensions, 2));
        h.suspensions++;
        h.suspendedUntil = now + ms * 1_000_000;
        return true;
    }

    private double meanRateOfOthers(String endpoint) {
        return byEndpoint.entrySet().stream()
                .filter(e -> !e.getKey().equals(endpoint))
                .mapToDouble(e -> e.getValue().rate)
                .average()
                .orElse(0);
    }

    private Health health(String endpoint) {
        return byEndpoint.computeIfAbsent(endpoint, e -> new Health());
    }

    private static final class Health {
        private int inRow;
        private int suspensions;
        private double rate;
        private long suspendedUntil;
    }
}
