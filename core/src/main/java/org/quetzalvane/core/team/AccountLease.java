package org.quetzalvane.core.team;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;

import org.quetzalvane.core.limit.AccountUse;
import org.quetzalvane.core.limit.Permit;
import org.quetzalvane.core.limit.PermitBucket;
import org.quetzalvane.core.limit.UseMeter;
import org.quetzalvane.core.time.Scheduler;

/**
 * One account at one node: the units that the holder has granted in advance, the requests that wait for its reply, and
 * the local share that is used while the holder is silent.
 *
 * <p>Invariant: what is granted to requests has been granted by the holder within the lease time, on the monotonic and
 * on the wall clock, or is within the local share. Confined to the event loop.
 */
final class AccountLease {
    /** Interval at which a silent holder is asked again, ms. */
    static final long PROBE_INTERVAL_MS = PeerTable.STATUS_INTERVAL_MS;
    /** Time for which charges and returns are collected before they are sent, ms. */
    private static final long CORRECTION_DELAY_MS = 50;
    /** Time after which a budget whose holder is lost is granted again, ms: detection and the new holder's silence. */
    private static final long MAX_SILENCE_MS = 2 * AccountBudgets.TAKEOVER_MS;
    /** Requests expected within the lease time from which on units are asked for in advance. */
    private static final double MIN_EXPECTED_REQUESTS = 1;
    /** Largest number of requests that wait for a reply. */
    private static final int MAX_WAITING = 1_000;
    /** Time for which the use over all nodes counts as known, ms. */
    private static final long USE_KNOWN_MS = 5_000;

    private final Scheduler scheduler;
    private final Holder holder;
    private final String account;
    private final UseMeter demand;
    private final UseMeter requests;
    private final UseMeter used;
    private final Deque<Waiter> waiting = new ArrayDeque<>();
    private long version = -1;
    private double perSecond;
    private double burst;

    private long balance;
    private GrantTime grantTime;
    private Scheduler.Timer expiry;
    private boolean asking;
    /** Units charged and not yet reported, less those to be returned. */
    private long correction;

    private boolean correctionScheduled;
    private long deniedCost = Long.MAX_VALUE;
    private long deniedUntilNanos;
    private PermitBucket local;
    private long largestCost;
    private long probedNanos;
    private long denied;
    private double allPerSecond;
    private long allNanos;
    private boolean allKnown;

    private record Waiter(long cost, Consumer<Permit> done) {}

    /**
     * Time at which a grant was asked for; the holder's grant is not older.
     *
     * @param nanos monotonic time
     * @param millis wall clock time
     */
    record GrantTime(long nanos, long millis) {
        static GrantTime now(Scheduler s) {
            return new GrantTime(s.nanoTime(), s.wallMillis());
        }

        /** Whether at most so many milliseconds have passed on both clocks; a wall clock that was set back fails. */
        boolean isWithin(Scheduler s, long ms) {
            long wall = s.wallMillis() - millis;
            return s.nanoTime() - nanos <= ms * 1_000_000 && wall >= 0 && wall <= ms;
        }
    }

    /** The holder of the budget as this node reaches it. */
    interface Holder {
        /** Asks for units; {@code done} is called once, with null if the holder is silent. */
        void ask(AccountLease l, long amount, long least, long extra, long correction, Answered done);

        /** Reports units charged, less those returned. */
        void correct(AccountLease l, long correction);

        /** Time for which a lease is used, ms. */
        long leaseMs();

        /** Nodes that share a budget whose holder is silent. */
        int sharingNodes();

        /** Time from which on a local share fills at the earliest. */
        long localFromNanos();

        /** Called when the node begins or ends to use its local share. */
        void localShareChanged(AccountLease l, boolean begins);
    }

    /** Takes the reply of a holder, or null, with the time at which it was asked. */
    @FunctionalInterface
    interface Answered {
        void answered(PeerMessage.BudgetReply reply, GrantTime asked);
    }

    AccountLease(Scheduler scheduler, Holder holder, String account) {
        this.scheduler = scheduler;
        this.holder = holder;
        this.account = account;
        this.demand = new UseMeter(scheduler);
        this.requests = new UseMeter(scheduler);
        this.used = new UseMeter(scheduler);
    }

    /** Applies the limit of a version of the configuration, unless a newer one is in force. */
    void setLimit(long configVersion, double rate, double capacity) {
        if (configVersion >= version) {
            version = configVersion;
            perSecond = rate;
            burst = capacity;
        }
    }

    void acquire(long cost, Consumer<Permit> done) {
        demand.add(cost);
        requests.add(1);
        largestCost = Math.max(largestCost, cost);
        if (waiting.isEmpty() && balance >= cost && isCurrent()) {
            balance -= cost;
            grant(cost, done);
        } else if (local != null) {
            decideLocally(cost, done);
            probe();
        } else if (cost >= deniedCost && scheduler.nanoTime() - deniedUntilNanos < 0) {
            deny((deniedUntilNanos - scheduler.nanoTime()) / 1_000_000, done);
        } else if (waiting.size() >= MAX_WAITING) {
            deny(BudgetExchange.REPLY_TIMEOUT_MS, done);
        } else {
            waiting.add(new Waiter(cost, done));
            ask();
        }
    }

    void charge(long cost) {
        used.add(cost);
        if (local != null) {
            local.charge(cost);
        } else if (balance >= cost && isCurrent()) {
            balance -= cost;
        } else {
            addCorrection(cost);
        }
    }

    void giveBack(long cost) {
        used.add(-cost);
        if (local != null) {
            local.giveBack(cost);
        } else {
            addCorrection(-cost);
        }
    }

    boolean isIdle() {
        return waiting.isEmpty() && balance == 0 && !asking && correction == 0;
    }

    String account() {
        return account;
    }

    long version() {
        return version;
    }

    double perSecond() {
        return perSecond;
    }

    double burst() {
        return burst;
    }

    /** Units per second over all nodes as the holder said, or {@link AccountUse#UNKNOWN}. */
    double allPerSecond() {
        boolean known = allKnown && scheduler.nanoTime() - allNanos < USE_KNOWN_MS * 1_000_000;
        return known ? allPerSecond : AccountUse.UNKNOWN;
    }

    AccountUse describe(String holderAddress) {
        return new AccountUse(
                account,
                perSecond,
                used.perSecond(),
                allPerSecond(),
                denied,
                local != null,
                holderAddress == null ? "" : holderAddress);
    }

    private boolean isCurrent() {
        return grantTime != null && grantTime.isWithin(scheduler, holder.leaseMs());
    }

    private void ask() {
        if (asking) {
            return;
        }
        asking = true;
        takeUnused();
        long amount = 0;
        long least = Long.MAX_VALUE;
        for (Waiter w : waiting) {
            amount += w.cost;
            least = Math.min(least, w.cost);
        }
        int asked = waiting.size();
        long reported = correction;
        correction = 0;
        holder.ask(this, amount, asked == 0 ? 0 : least, extra(), reported, (reply, at) -> answered(reply, at, asked));
    }

    /** Units to ask for in advance: the expected use within the lease time, unless it is less than a request. */
    private long extra() {
        double leaseS = holder.leaseMs() / 1e3;
        return requests.perSecond() * leaseS < MIN_EXPECTED_REQUESTS ? 0 : Math.round(demand.perSecond() * leaseS);
    }

    private void answered(PeerMessage.BudgetReply reply, GrantTime asked, int numberAsked) {
        asking = false;
        if (reply == null || !reply.holding()) {
            useLocalShare();
        } else {
            endLocalShare();
            allPerSecond = reply.usePerSecond();
            allNanos = scheduler.nanoTime();
            allKnown = true;
            balance = reply.granted();
            grantTime = asked;
            serve(reply, numberAsked);
            scheduleExpiry();
        }
        if (!waiting.isEmpty()) {
            ask();
        }
    }

    /** Grants what fits to those that wait; those that were asked for and do not fit are denied. */
    private void serve(PeerMessage.BudgetReply reply, int numberAsked) {
        List<Waiter> all = new ArrayList<>(waiting);
        waiting.clear();
        List<Waiter> granted = new ArrayList<>();
        List<Waiter> refused = new ArrayList<>();
        deniedCost = Long.MAX_VALUE;
        for (int i = 0; i < all.size(); i++) {
            Waiter w = all.get(i);
            if (w.cost <= balance) {
                balance -= w.cost;
                granted.add(w);
            } else if (i < numberAsked || w.cost >= deniedCost) {
                deniedCost = Math.min(deniedCost, w.cost);
                refused.add(w);
            } else {
                waiting.add(w);
            }
        }
        long left = reply.left() + balance;
        if (!refused.isEmpty()) {
            deniedUntilNanos = scheduler.nanoTime() + waitMs(deniedCost, left, reply.perSecond()) * 1_000_000;
        }
        granted.forEach(w -> grant(w.cost, w.done));
        refused.forEach(w -> deny(waitMs(w.cost, left, reply.perSecond()), w.done));
    }

    /** Time after which a budget contains the cost of a request, or is full, ms. */
    private long waitMs(long cost, long left, double rate) {
        double missing = Math.min(cost, burst) - left;
        return Math.max(1, (long) Math.ceil(missing / Math.max(rate, 1e-3) * 1_000));
    }

    private void grant(long cost, Consumer<Permit> done) {
        used.add(cost);
        done.accept(Permit.UNLIMITED);
    }

    private void deny(long waitMs, Consumer<Permit> done) {
        denied++;
        done.accept(Permit.denied(Math.max(1, waitMs)));
    }

    private void scheduleExpiry() {
        if (expiry != null) {
            expiry.cancel();
            expiry = null;
        }
        if (balance > 0) {
            long restNanos = grantTime.nanos() + holder.leaseMs() * 1_000_000 + 1 - scheduler.nanoTime();
            expiry = scheduler.schedule(Duration.ofNanos(Math.max(0, restNanos)), this::expire);
        }
    }

    private void expire() {
        expiry = null;
        takeUnused();
        sendCorrection();
    }

    /**
     * Ends the lease; what is unused is to be returned, unless the process was paused: the holder's bucket has refilled
     * since then, and what is returned would add to it.
     */
    private void takeUnused() {
        if (balance > 0 && grantTime.isWithin(scheduler, holder.leaseMs() + BudgetExchange.REPLY_TIMEOUT_MS)) {
            correction -= balance;
        }
        balance = 0;
    }

    private void addCorrection(long units) {
        correction += units;
        if (!correctionScheduled) {
            correctionScheduled = true;
            scheduler.schedule(Duration.ofMillis(CORRECTION_DELAY_MS), () -> {
                correctionScheduled = false;
                sendCorrection();
            });
        }
    }

    private void sendCorrection() {
        long units = correction;
        correction = 0;
        if (units != 0) {
            holder.correct(this, units);
        }
    }

    private void useLocalShare() {
        probedNanos = scheduler.nanoTime();
        if (local == null) {
            long from = Math.max(0, holder.localFromNanos() - scheduler.nanoTime());
            local = new PermitBucket(scheduler, scheduler.nanoTime() + from, localRate(), localRate());
            holder.localShareChanged(this, true);
        }
        List<Waiter> all = new ArrayList<>(waiting);
        waiting.clear();
        all.forEach(w -> decideLocally(w.cost, w.done));
    }

    private void endLocalShare() {
        if (local != null) {
            local = null;
            holder.localShareChanged(this, false);
        }
    }

    private double localRate() {
        return perSecond / holder.sharingNodes();
    }

    /**
     * Decides within this node's part of the allowance. It holds one second of that part, or the largest request if
     * that is more: granting a large request from a full bucket at each node would exceed the allowance.
     */
    private void decideLocally(long cost, Consumer<Permit> done) {
        local.setLimit(localRate(), Math.max(localRate(), largestCost));
        if (cost == 0 || local.take(cost, cost, 0) > 0) {
            grant(cost, done);
        } else {
            deny(Math.min(MAX_SILENCE_MS, waitMs(cost, local.content(), localRate())), done);
        }
    }

    private void probe() {
        if (scheduler.nanoTime() - probedNanos >= PROBE_INTERVAL_MS * 1_000_000) {
            probedNanos = scheduler.nanoTime();
            ask();
        }
    }
}
