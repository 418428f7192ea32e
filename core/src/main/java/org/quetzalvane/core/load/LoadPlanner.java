package org.quetzalvane.core.load;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.quetzalvane.core.ResultCode;
import org.quetzalvane.core.model.AdapterVersion;
import org.quetzalvane.core.request.InferenceRequest;
import org.quetzalvane.core.request.Refusal;

/**
 * Plans the loads of one engine: selects the next load and refuses requests whose adapter cannot be loaded in time.
 *
 * <p>Each waiting group has a load deadline. A request is accepted only if the forecast of loads and responses meets
 * its load deadline, its response deadline, and the load deadlines of the groups accepted before. The next load is the
 * most valuable one that lets no other group miss its load deadline. If the policy does not plan loads, every request
 * is accepted and the most valuable load is next.
 *
 * <p>Not thread-safe; guarded by the lock of its {@link EngineDispatcher}.
 */
final class LoadPlanner {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long MIN_RETRY_AFTER_MILLIS = 500;

    /**
     * Added to the value of a load that must start now for a load deadline to be met. Greater than the values of
     * {@link LoadPolicy#mostWaiting()} for groups of less than a million requests.
     */
    private static final double URGENT_VALUE_BONUS = 1e6;

    /** Load wait share from which the maximum wait is {@link DispatchPolicy#maxWaitShare()}. */
    private static final double HIGH_LOAD_WAIT_SHARE = 0.5;

    /**
     * Range of the load wait share, below {@link #HIGH_LOAD_WAIT_SHARE}, in which the maximum wait rises linearly to
     * {@link DispatchPolicy#idleMaxWaitShare()}.
     */
    private static final double LOAD_WAIT_SHARE_RANGE = 0.3;

    private static final Comparator<WaitGroup> BY_LOAD_DEADLINE =
            (a, b) -> Long.signum(a.loadDeadlineNanos() - b.loadDeadlineNanos());

    private final DispatchConfig config;
    private final SlotTable slots;
    private final WaitQueue queue;
    private final LoadForecast forecast;
    private final Popularity popularity = new Popularity();
    private final Map<AdapterVersion, Long> backoffUntilNanos = new HashMap<>();

    /**
     * The load to start next. Immutable.
     *
     * @param version the adapter version
     * @param value value of the load
     */
    record NextLoad(AdapterVersion version, double value) {}

    LoadPlanner(DispatchConfig config, SlotTable slots, WaitQueue queue, long now) {
        this.forecast = new LoadForecast(now);
        this.config = config;
        this.slots = slots;
        this.queue = queue;
    }

    LoadForecast forecast() {
        return forecast;
    }

    /** Returns the time by which the adapter of a request that arrives now must be loaded. */
    long loadDeadlineNanos(InferenceRequest request, long now) {
        DispatchPolicy policy = config.policy();
        if (!policy.plansLoads()) {
            return request.deadlineNanos();
        }
        double idleness =
                Math.max(0, Math.min(1, (HIGH_LOAD_WAIT_SHARE - forecast.loadWaitShare(now)) / LOAD_WAIT_SHARE_RANGE));
        double maxWaitShare = policy.maxWaitShare() + idleness * (policy.idleMaxWaitShare() - policy.maxWaitShare());
        return now + (long) (maxWaitShare * (request.deadlineNanos() - now));
    }

    /**
     * Counts a request for the popularity of its adapter; returns the refusal if it cannot be accepted, else null.
     */
    Refusal recordAndCheckAdmission(InferenceRequest request, long now) {
        popularity.recordRequest(request.version(), now);
        if (!config.policy().plansLoads()) {
            return null;
        }
        if (slots.find(request.version()).isPresent()) {
            return deadlineRefusal(request, now, 0);
        }
        long loadDeadlineNanos = loadDeadlineNanos(request, now);
        List<WaitGroup> plan = plan();
        int position = positionOf(request.version(), loadDeadlineNanos, plan);
        long waitNanos = forecast.nanosUntilLoaded(position, now);
        boolean joinsGroup = queue.has(request.version());
        boolean feasible =
                now + waitNanos - loadDeadlineNanos <= 0 && (joinsGroup || keepsLaterDeadlines(plan, position, now));
        return feasible ? deadlineRefusal(request, now, waitNanos) : refusal(waitNanos);
    }

    /** Returns the refusal of a queued request whose deadline can no longer be met by the forecast, or null. */
    Refusal refusalIfUnreachable(InferenceRequest request, long now, long waitNanos) {
        return config.policy().plansLoads() ? deadlineRefusal(request, now, waitNanos) : null;
    }

    /** Returns the forecast waits, in nanoseconds, of the adapters that need a load. */
    Map<AdapterVersion, Long> forecastWaits(long now) {
        Map<AdapterVersion, Long> waitsNanos = new HashMap<>();
        List<WaitGroup> plan = plan();
        for (int i = 0; i < plan.size(); i++) {
            waitsNanos.put(plan.get(i).version(), forecast.nanosUntilLoaded(i, now));
        }
        return waitsNanos;
    }

    /** Returns the load to start next. */
    Optional<NextLoad> next(long now) {
        List<WaitGroup> candidates = new ArrayList<>();
        for (WaitGroup group : queue.groups()) {
            if (slots.find(group.version()).isEmpty()
                    && backoffUntilNanos.getOrDefault(group.version(), now) - now <= 0) {
                candidates.add(group);
            }
        }
        forecast.updatePending(!candidates.isEmpty(), now);
        return config.policy().plansLoads()
                ? mostValuableWithinDeadlines(candidates, now)
                : mostValuable(candidates, now);
    }

    /** Returns the adapter slot to evict for a load. */
    Optional<Slot> victim(long now) {
        return config.evictionPolicy().victim(slots.evictable(queue::has), v -> popularity.decayedCount(v, now));
    }

    void loadStarted(long now) {
        forecast.loadStarted(now);
    }

    void loadSucceeded(AdapterVersion v, long durationNanos, long now) {
        forecast.loadSucceeded(durationNanos, now);
        backoffUntilNanos.remove(v);
    }

    void loadFailed(AdapterVersion v, long now) {
        backoffUntilNanos.values().removeIf(until -> until - now <= 0);
        backoffUntilNanos.put(v, now + config.loadBackoff().toNanos());
    }

    // Helpers

    private Optional<NextLoad> mostValuable(List<WaitGroup> candidates, long now) {
        return candidates.stream().map(g -> withValue(g, now)).max(Comparator.comparingDouble(NextLoad::value));
    }

    private Optional<NextLoad> mostValuableWithinDeadlines(List<WaitGroup> candidates, long now) {
        candidates.sort(BY_LOAD_DEADLINE);
        long loadIntervalNanos = forecast.loadIntervalNanos(now);
        NextLoad best = null;
        for (int i = 0; i < candidates.size(); i++) {
            WaitGroup group = candidates.get(i);
            NextLoad candidate = withValue(group, now);
            best = best == null || candidate.value() > best.value() ? candidate : best;
            long slackNanos = group.loadDeadlineNanos() - now - forecast.nanosUntilLoaded(i, now);
            if (slackNanos < loadIntervalNanos) {
                return Optional.of(new NextLoad(best.version(), best.value() + URGENT_VALUE_BONUS));
            }
        }
        return Optional.ofNullable(best);
    }

    private NextLoad withValue(WaitGroup group, long now) {
        return new NextLoad(group.version(), config.loadPolicy().value(group, now));
    }

    /** Returns the groups that need a load, in the order of their load deadlines. */
    private List<WaitGroup> plan() {
        List<WaitGroup> plan = new ArrayList<>();
        for (WaitGroup group : queue.groups()) {
            if (slots.find(group.version()).isEmpty()) {
                plan.add(group);
            }
        }
        plan.sort(BY_LOAD_DEADLINE);
        return plan;
    }

    private static int positionOf(AdapterVersion v, long loadDeadlineNanos, List<WaitGroup> plan) {
        int position = 0;
        for (WaitGroup group : plan) {
            if (group.version().equals(v) || group.loadDeadlineNanos() - loadDeadlineNanos > 0) {
                return position;
            }
            position++;
        }
        return position;
    }

    /** Returns whether one more load at a position makes no later group miss a load deadline that it meets without. */
    private boolean keepsLaterDeadlines(List<WaitGroup> plan, int position, long now) {
        long loadIntervalNanos = forecast.loadIntervalNanos(now);
        for (int i = position; i < plan.size(); i++) {
            long slackNanos = plan.get(i).loadDeadlineNanos() - now - forecast.nanosUntilLoaded(i, now);
            if (slackNanos >= 0 && slackNanos < loadIntervalNanos) {
                return false;
            }
        }
        return true;
    }

    private Refusal deadlineRefusal(InferenceRequest request, long now, long waitNanos) {
        boolean late = waitNanos + forecast.responseNanos(request.maxTokens()) > request.deadlineNanos() - now;
        return late ? refusal(waitNanos) : null;
    }

    private static Refusal refusal(long waitNanos) {
        return Refusal.retryable(
                ResultCode.DEADLINE_UNREACHABLE,
                "by the forecast a load deadline or the response deadline cannot be met",
                Math.max(MIN_RETRY_AFTER_MILLIS, waitNanos / NANOS_PER_MILLI));
    }
}
