package org.quetzalvane.core.team;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import org.quetzalvane.core.limit.PermitBucket;
import org.quetzalvane.core.limit.QuotaBounds;
import org.quetzalvane.core.limit.UseMeter;
import org.quetzalvane.core.time.Scheduler;

/**
 * The budgets of accounts that this node holds: grants units to the nodes that ask.
 *
 * <p>A node that has become the holder starts with an empty bucket and grants nothing for the time for which nodes may
 * disagree about the hubs. A node whose clock shows that it was paused has possibly been replaced meanwhile and starts
 * anew. Confined to the event loop.
 */
final class AccountBudgets {
    /** Time for which nodes may disagree about the hubs, ms: the time after which a silent hub is no longer one. */
    static final long TAKEOVER_MS = PeerTable.UP_TIMEOUT_MS;
    /** Time after its start for which a node holds nothing, ms: it must have heard from the other hubs. */
    static final long START_MS = 1_500;
    /** Nodes that are assumed until a peer is seen. */
    static final int ASSUMED_NODES = 64;
    /** Time between two runs of the repeated task after which the process has been paused, ms: less than a takeover. */
    private static final long PAUSE_MS = 2 * BudgetExchange.COUNT_INTERVAL_MS;

    private final Scheduler scheduler;
    private final QuotaBounds bounds;
    private final BudgetExchange<String, PeerMessage.BudgetReply> budgets;
    private final String self;
    private final Map<String, Terms> terms = new HashMap<>();
    private Set<String> configured = Set.of();
    private long configuredVersion = -1;
    private final long startedNanos;
    private long hubsChangedNanos;
    private boolean holderChanged = true;
    private long aliveNanos;
    private long aliveMillis;

    /** What is known of a budget beside its bucket. */
    private static final class Terms {
        private final UseMeter use;
        private final long readyNanos;
        private long version;
        private double perSecond;
        private double burst;

        Terms(Scheduler scheduler, long readyNanos, long version, double perSecond, double burst) {
            this.use = new UseMeter(scheduler);
            this.readyNanos = readyNanos;
            this.version = version;
            this.perSecond = perSecond;
            this.burst = burst;
        }
    }

    AccountBudgets(
            Scheduler scheduler,
            QuotaBounds bounds,
            BudgetExchange<String, PeerMessage.BudgetReply> budgets,
            String self) {
        this.scheduler = scheduler;
        this.bounds = bounds;
        this.budgets = budgets;
        this.self = self;
        this.startedNanos = scheduler.nanoTime();
        this.hubsChangedNanos = startedNanos;
        recordAlive();
    }

    /** Follows the hubs; runs at intervals of {@link BudgetExchange#COUNT_INTERVAL_MS}. */
    void update() {
        if (wasPaused()) {
            terms.clear();
            budgets.removeIf((k, b) -> true);
            hubsChangedNanos = scheduler.nanoTime();
            holderChanged = true;
        }
        recordAlive();
        if (budgets.updateHubs()) {
            hubsChangedNanos = scheduler.nanoTime();
            holderChanged = true;
            Set<String> lost = new HashSet<>(terms.keySet());
            lost.removeIf(this::isHolder);
            lost.forEach(this::drop);
        }
    }

    /** Whether this node may hold other budgets than at the last call. */
    boolean takeHolderChanged() {
        boolean changed = holderChanged;
        holderChanged = false;
        return changed;
    }

    /** Drops the budgets of accounts that a version of the configuration does not limit. */
    void configure(long version, Set<String> limited) {
        holderChanged = true;
        configuredVersion = version;
        configured = Set.copyOf(limited);
        Set<String> gone = new HashSet<>(terms.keySet());
        gone.removeIf(k -> configured.contains(k) || terms.get(k).version > version);
        gone.forEach(this::drop);
    }

    /** Creates the budget of an account if this node holds it, so that it is ready when the account is used. */
    void prepare(String account, long version, double perSecond, double burst) {
        if (isHolder(account)) {
            find(account, version, perSecond, burst);
        }
    }

    /** Processes the request of a node that takes this one for the holder; the reply is dropped for a correction. */
    PeerMessage.BudgetReply answer(PeerMessage.BudgetRequest r) {
        update();
        boolean outdated = configuredVersion > r.version() && !configured.contains(r.account());
        boolean valid = r.perSecond() > 0 && r.burst() >= 0 && r.amount() >= 0 && r.least() >= 0 && r.extra() >= 0;
        if (outdated || !valid || !isHolder(r.account())) {
            return refusal(r);
        }
        PermitBucket bucket = find(r.account(), r.version(), r.perSecond(), r.burst());
        Terms t = terms.get(r.account());
        if (bucket == null || scheduler.nanoTime() - t.readyNanos < 0) {
            return refusal(r);
        }
        correct(bucket, t, r.correction());
        long granted = r.amount() == 0 ? 0 : bucket.take(r.amount(), r.least(), r.extra());
        t.use.add(granted);
        return new PeerMessage.BudgetReply(
                self,
                r.number(),
                true,
                granted,
                bucket.content(),
                t.perSecond * share(),
                Math.round(t.use.perSecond()));
    }

    /** Number of budgets held. */
    int size() {
        return terms.size();
    }

    /** The most nodes seen lately; more than are seen if no peer has been seen since the start. */
    int mostNodes() {
        boolean assumed = budgets.mostNodes() <= 1
                && scheduler.nanoTime() - startedNanos < BudgetExchange.MOST_NODES_MS * 1_000_000;
        return assumed ? ASSUMED_NODES : Math.max(1, budgets.mostNodes());
    }

    /** Time until which a node that has started uses no local share, on the monotonic clock. */
    long startedUntilNanos() {
        return startedNanos + START_MS * 1_000_000;
    }

    private PeerMessage.BudgetReply refusal(PeerMessage.BudgetRequest r) {
        return new PeerMessage.BudgetReply(self, r.number(), false, 0, 0, 0, 0);
    }

    private static void correct(PermitBucket bucket, Terms t, long correction) {
        if (correction > 0) {
            bucket.charge(correction);
        } else if (correction < 0) {
            bucket.giveBack(-correction);
        }
        t.use.add(correction);
    }

    /** The bucket of an account, under the newest limit known; null if there are too many. */
    private PermitBucket find(String account, long version, double perSecond, double burst) {
        Terms t = terms.get(account);
        if (t == null) {
            if (terms.size() >= BudgetExchange.MAX_BUCKETS && !dropIdle()) {
                return null;
            }
            t = new Terms(scheduler, readyNanos(), version, perSecond, burst);
            terms.put(account, t);
        } else if (version > t.version) {
            t.version = version;
            t.perSecond = perSecond;
            t.burst = burst;
        }
        double rate = t.perSecond * share();
        double capacity = t.burst * share();
        long empty = t.readyNanos;
        PermitBucket b = budgets.findOrCreate(account, () -> new PermitBucket(scheduler, empty, rate, capacity));
        b.setLimit(rate, capacity);
        return b;
    }

    /** Time from which on a bucket that is created now fills and grants. */
    private long readyNanos() {
        long afterTakeover = hubsChangedNanos + TAKEOVER_MS * 1_000_000;
        return afterTakeover - startedUntilNanos() > 0 ? afterTakeover : startedUntilNanos();
    }

    /** Part of each budget that this node grants, so that the sides of a network partition add up to one budget. */
    private double share() {
        double part = budgets.countNodes() / (double) mostNodes();
        return part >= bounds.fullRatePart() ? 1 : part;
    }

    private boolean isHolder(String account) {
        return budgets.isSelf(budgets.holder(account));
    }

    /** Drops a budget that loses nothing by it: one that is full. */
    private boolean dropIdle() {
        String idle = terms.keySet().stream()
                .filter(k -> budgets.find(k).isIdle())
                .findFirst()
                .orElse(null);
        if (idle != null) {
            drop(idle);
        }
        return idle != null;
    }

    private void drop(String account) {
        terms.remove(account);
        budgets.remove(account);
    }

    private void recordAlive() {
        aliveNanos = scheduler.nanoTime();
        aliveMillis = scheduler.wallMillis();
    }

    /** Whether the process was suspended; the monotonic clock of a suspended machine may stand still. */
    private boolean wasPaused() {
        return scheduler.nanoTime() - aliveNanos > PAUSE_MS * 1_000_000
                || scheduler.wallMillis() - aliveMillis > PAUSE_MS;
    }
}
