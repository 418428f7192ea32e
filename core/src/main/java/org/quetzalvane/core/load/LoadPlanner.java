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
 * Plans the loads of one engine: which goes next, and which requests can be promised one in time.
 *
 * <p>Each waiting group has an instant by which its load was promised. A request is taken only when the plan, at the
 * forecast pace of loads, keeps its own promise and those given before. The most valuable load goes next that makes no
 * promise late. Unless the policy plans, everything is taken and value alone decides.
 *
 * <p>Not thread-safe; guarded by the lock of its {@link EngineDispatcher}.
 */
final class LoadPlanner {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long MIN_RETRY_MILLIS = 500;
    private static final double URGENT = 1e6;
    private static final double BUSY = 0.5;
    private static final double BUSY_RANGE = 0.3;
    private static final Comparator<WaitGroup> BY_PROMISE =
            (a, b) -> Long.signum(a.promisedNanos() - b.promisedNanos());

    private final DispatchConfig config;
    private final SlotTable slots;
    private final WaitQueue waiting;
    private final LoadForecast forecast;
    private final Popularity popularity = new Popularity();
    private final Map<AdapterVersion, Long> backoffUntilNanos = new HashMap<>();

    /**
     * A load to start next. Immutable.
     *
     * @param version the adapter version
     * @param value how much the load is worth
     */
    record Next(AdapterVersion version, double value) {}

    LoadPlanner(DispatchConfig config, SlotTable slots, WaitQueue waiting, long now) {
        this.forecast = new LoadForecast(now);
        this.config = config;
        this.slots = slots;
        this.waiting = waiting;
    }

    LoadForecast forecast() {
        return forecast;
    }

    /** Instant by which the adapter of a request that comes now should be loaded. */
    long promise(InferenceRequest r, long now) {
        DispatchPolicy policy = config.policy();
        if (!policy.planned()) {
            return r.deadlineNanos();
        }
        double ease = Math.max(0, Math.min(1, (BUSY - forecast.busyShare(now)) / BUSY_RANGE));
        double patience = policy.patience() + ease * (policy.idlePatience() - policy.patience());
        return now + (long) (patience * (r.deadlineNanos() - now));
    }

    /** Why a request cannot be taken, or null. */
    Refusal admission(InferenceRequest r, long now) {
        popularity.requested(r.version(), now);
        if (!config.policy().planned()) {
            return null;
        }
        if (slots.find(r.version()).isPresent()) {
            return late(r, now, 0);
        }
        long promise = promise(r, now);
        List<WaitGroup> plan = plan();
        int place = placeOf(r.version(), promise, plan);
        long wait = forecast.untilLoaded(place, now);
        boolean joins = waiting.has(r.version());
        boolean kept = now + wait - promise <= 0 && (joins || leavesRoom(plan, place, now));
        return kept ? late(r, now, wait) : refusal(wait);
    }

    /** Why a request that waits can no longer be served in time, or null. */
    Refusal hopeless(InferenceRequest r, long now, long wait) {
        return config.policy().planned() ? late(r, now, wait) : null;
    }

    /** The forecast waits of the groups that need a load. */
    Map<AdapterVersion, Long> waits(long now) {
        Map<AdapterVersion, Long> waits = new HashMap<>();
        List<WaitGroup> plan = plan();
        for (int i = 0; i < plan.size(); i++) {
            waits.put(plan.get(i).version(), forecast.untilLoaded(i, now));
        }
        return waits;
    }

    /** The load to start next. */
    Optional<Next> next(long now) {
        List<WaitGroup> due = new ArrayList<>();
        for (WaitGroup g : waiting.groups()) {
            if (slots.find(g.version()).isEmpty() && backoffUntilNanos.getOrDefault(g.version(), now) - now <= 0) {
                due.add(g);
            }
        }
        forecast.waiting(!due.isEmpty(), now);
        return config.policy().planned() ? mostValuableInTime(due, now) : mostValuable(due, now);
    }

    /** The adapter that gives way to a load. */
    Optional<Slot> victim(long now) {
        return config.evictionPolicy().victim(slots.evictable(waiting::has), v -> popularity.of(v, now));
    }

    void started(long now) {
        forecast.loadStarted(now);
    }

    void loaded(AdapterVersion v, long nanos, long now) {
        forecast.loadEnded(nanos, now);
        backoffUntilNanos.remove(v);
    }

    void failed(AdapterVersion v, long now) {
        backoffUntilNanos.values().removeIf(until -> until - now <= 0);
        backoffUntilNanos.put(v, now + config.loadBackoff().toNanos());
    }

    // Helpers

    private Optional<Next> mostValuable(List<WaitGroup> due, long now) {
        return due.stream().map(g -> valued(g, now)).max(Comparator.comparingDouble(Next::value));
    }

    private Optional<Next> mostValuableInTime(List<WaitGroup> due, long now) {
        due.sort(BY_PROMISE);
        long interval = forecast.interval(now);
        Next best = null;
        for (int i = 0; i < due.size(); i++) {
            WaitGroup g = due.get(i);
            Next candidate = valued(g, now);
            best = best == null || candidate.value() > best.value() ? candidate : best;
            long slack = g.promisedNanos() - now - forecast.untilLoaded(i, now);
            if (slack < interval) {
                return Optional.of(new Next(best.version(), best.value() + URGENT));
            }
        }
        return Optional.ofNullable(best);
    }

    private Next valued(WaitGroup g, long now) {
        return new Next(g.version(), config.loadPolicy().value(g, now));
    }

    /** The groups that need a load, in the order of their promises. */
    private List<WaitGroup> plan() {
        List<WaitGroup> plan = new ArrayList<>();
        for (WaitGroup g : waiting.groups()) {
            if (slots.find(g.version()).isEmpty()) {
                plan.add(g);
            }
        }
        plan.sort(BY_PROMISE);
        return plan;
    }

    private static int placeOf(AdapterVersion v, long promise, List<WaitGroup> plan) {
        int place = 0;
        for (WaitGroup g : plan) {
            if (g.version().equals(v) || g.promisedNanos() - promise > 0) {
                return place;
            }
            place++;
        }
        return place;
    }

    /** Whether one more load at a place keeps the promises behind it that could be kept without. */
    private boolean leavesRoom(List<WaitGroup> plan, int place, long now) {
        long interval = forecast.interval(now);
        for (int i = place; i < plan.size(); i++) {
            long slack = plan.get(i).promisedNanos() - now - forecast.untilLoaded(i, now);
            if (slack >= 0 && slack < interval) {
                return false;
            }
        }
        return true;
    }

    private Refusal late(InferenceRequest r, long now, long wait) {
        boolean late = wait + forecast.untilAnswered(r.maxTokens()) > r.deadlineNanos() - now;
        return late ? refusal(wait) : null;
    }

    private static Refusal refusal(long wait) {
        return Refusal.retryable(
                ResultCode.DEADLINE_UNREACHABLE,
                "the answer cannot be whole in time",
                Math.max(MIN_RETRY_MILLIS, wait / NANOS_PER_MILLI));
    }
}
