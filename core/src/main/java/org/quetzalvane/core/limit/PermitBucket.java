package org.quetzalvane.core.limit;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

import org.quetzalvane.core.time.Scheduler;

/**
 * Grants the permits of one endpoint instance, or the units of one allowance: a token bucket with a queue.
 *
 * <p>The bucket starts empty, so that a holder that takes over from another one does not add a burst. Permits of one
 * token are asked for and may wait, in order of rank, then of arrival; one that would wait too long is denied at once,
 * also when a more urgent one arrives later. Amounts are taken at once or not at all; the balance may become negative.
 * Confined to the event loop.
 */
public final class PermitBucket {
    /** Smallest capacity: two requests, so that a permit is not lost while the next request is on its way. */
    private static final double MIN_CAPACITY = 2;
    /** Part of a second whose permits the bucket holds beyond {@link #MIN_CAPACITY}. */
    private static final double CAPACITY_S = 0.25;
    /** Requests per second that find out whether an endpoint with a lower limit, or zero, still has it. */
    static final double MIN_PER_SECOND = 0.1;
    /** Tolerance of the longest wait, ns; waits are rounded up to milliseconds. */
    private static final long ROUNDING_NANOS = 2_000_000;
    /** Part of the content that is granted in advance at most, so that a scarce budget is granted as it is needed. */
    private static final double ADVANCE_PART = 1 / 8.0;
    /** Tolerance of a comparison with the content, which is a sum of rounded fractions. */
    private static final double ROUNDING = 1e-6;
    /** Largest number of requests that wait. */
    static final int MAX_WAITING = 256;

    private final Scheduler scheduler;
    private final List<Waiter> waiters = new ArrayList<>();
    private double perSecond = MIN_PER_SECOND;
    /** Capacity that was set, or negative if it follows from the rate. */
    private double fixedCapacity = -1;

    private double tokens;
    private long refilledNanos;
    private Scheduler.Timer timer;

    private record Waiter(int rank, long untilNanos, Consumer<Permit> done) {}

    public PermitBucket(Scheduler scheduler) {
        this.scheduler = scheduler;
        this.refilledNanos = scheduler.nanoTime();
    }

    /**
     * Creates a bucket of a set capacity that is empty at a given time.
     *
     * @param emptyNanos time from which on it fills, before or after now
     * @param rate units per second
     * @param capacity units
     */
    public PermitBucket(Scheduler scheduler, long emptyNanos, double rate, double capacity) {
        this.scheduler = scheduler;
        this.refilledNanos = emptyNanos;
        this.perSecond = rate;
        this.fixedCapacity = capacity;
    }

    /** Time between two permits of an endpoint with this limit, ms. */
    public static double intervalMs(double perSecond) {
        return 1_000 / Math.max(MIN_PER_SECOND, perSecond);
    }

    /** Sets the permits per second from now on. */
    public void setRate(double rate) {
        refill();
        perSecond = Math.max(MIN_PER_SECOND, rate);
        tokens = Math.min(tokens, capacity());
        serve();
    }

    /** Sets rate, units per second, and capacity, units; what the bucket contains beyond the capacity is lost. */
    public void setLimit(double rate, double capacity) {
        refill();
        perSecond = rate;
        fixedCapacity = capacity;
        tokens = Math.min(tokens, capacity);
    }

    /**
     * Takes units if the bucket contains enough of them. An amount beyond the capacity is taken from a full bucket.
     *
     * @param amount what is needed
     * @param least what is taken at least; otherwise nothing is taken
     * @param extra what is taken in advance, as far as the bucket is well filled
     * @return units taken, 0 if there are fewer than {@code least}
     */
    public long take(long amount, long least, long extra) {
        refill();
        if (tokens + ROUNDING < Math.min(least, capacity())) {
            return 0;
        }
        long taken = Math.max(least, Math.min(amount, (long) (tokens + ROUNDING)));
        if (taken >= amount) {
            taken += (long) Math.min(extra, Math.max(0, tokens - taken) * ADVANCE_PART);
        }
        tokens -= taken;
        return taken;
    }

    /** Takes units whether or not the bucket contains them. */
    public void charge(long amount) {
        refill();
        tokens -= amount;
    }

    /** Adds units that were taken and not used. */
    public void giveBack(long amount) {
        refill();
        tokens = Math.min(capacity(), tokens + amount);
    }

    /** Units that the bucket contains; negative while it is in debt. */
    public long content() {
        refill();
        return (long) Math.floor(tokens + ROUNDING);
    }

    /**
     * Asks for a permit.
     *
     * @param rank urgency, lowest number first
     * @param maxWaitMs longest wait, ms
     * @param done called once, possibly before this method returns
     */
    public void ask(int rank, long maxWaitMs, Consumer<Permit> done) {
        serve();
        int ahead = (int) waiters.stream().filter(w -> w.rank <= rank).count();
        long waitMs = waitMs(ahead);
        if (waitMs > maxWaitMs || waiters.size() >= MAX_WAITING) {
            done.accept(Permit.denied(Math.max(1, waitMs)));
            return;
        }
        waiters.add(ahead, new Waiter(rank, scheduler.nanoTime() + maxWaitMs * 1_000_000 + ROUNDING_NANOS, done));
        serve();
    }

    /** Takes back a permit under which nothing was sent. */
    public void giveBack() {
        refill();
        tokens = Math.min(capacity(), tokens + 1);
        serve();
    }

    /** Whether nobody waits and the bucket is full, so that a new one would lose nothing but its content. */
    public boolean isIdle() {
        refill();
        return waiters.isEmpty() && tokens >= capacity();
    }

    private void serve() {
        refill();
        while (!waiters.isEmpty() && tokens >= 1) {
            Waiter w = waiters.remove(0);
            if (w.untilNanos - scheduler.nanoTime() < 0) {
                w.done.accept(Permit.denied(waitMs(waiters.size())));
            } else {
                tokens--;
                w.done.accept(Permit.granted(waitMs(waiters.size())));
            }
        }
        denyLate();
        scheduleNext();
    }

    /** Denies those that can no longer be served within their wait. */
    private void denyLate() {
        long now = scheduler.nanoTime();
        List<Waiter> late = new ArrayList<>();
        for (int i = 0; i < waiters.size(); i++) {
            if (now + waitMs(i - late.size()) * 1_000_000 - waiters.get(i).untilNanos > 0) {
                late.add(waiters.get(i));
            }
        }
        waiters.removeAll(late);
        late.forEach(w -> w.done.accept(Permit.denied(Math.max(1, waitMs(waiters.size())))));
    }

    private void scheduleNext() {
        if (timer != null) {
            timer.cancel();
            timer = null;
        }
        if (!waiters.isEmpty()) {
            timer = scheduler.schedule(Duration.ofMillis(Math.max(1, waitMs(0))), this::serve);
        }
    }

    /** Wait of a request with so many ahead of it, ms, rounded up. */
    private long waitMs(int ahead) {
        return Math.max(0, (long) Math.ceil((ahead + 1 - tokens) * intervalMs(perSecond)));
    }

    private double capacity() {
        return fixedCapacity >= 0 ? fixedCapacity : MIN_CAPACITY + perSecond * CAPACITY_S;
    }

    private void refill() {
        long now = scheduler.nanoTime();
        if (now - refilledNanos > 0) {
            tokens = Math.min(capacity(), tokens + (now - refilledNanos) / 1e9 * perSecond);
            refilledNanos = now;
        }
    }
}
