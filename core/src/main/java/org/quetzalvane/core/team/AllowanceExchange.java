package org.quetzalvane.core.team;

import java.time.Duration;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.IntSupplier;

import org.quetzalvane.core.event.EventCode;
import org.quetzalvane.core.event.StructuredLog;
import org.quetzalvane.core.limit.AccountAllowances;
import org.quetzalvane.core.limit.AccountUse;
import org.quetzalvane.core.limit.Permit;
import org.quetzalvane.core.limit.QuotaBounds;
import org.quetzalvane.core.routes.ClientAccount;
import org.quetzalvane.core.time.Scheduler;

/**
 * Shares the allowances of client accounts between the nodes: a budget per account, held by one hub, of which the nodes
 * lease what they are about to use.
 *
 * <p>An account without a rate is granted at once, without any message. At most {@link BudgetExchange#MAX_BUCKETS}
 * accounts are kept. Confined to the event loop.
 */
public final class AllowanceExchange implements AccountAllowances {
    /** Distinguishes the keys of allowances from those of other budgets. */
    private static final String KEY_PREFIX = "account:";
    /** Requests whose late replies can be returned. */
    private static final int MAX_ASKED = 1_000;

    private final Scheduler scheduler;
    private final StructuredLog log;
    private final HubLinks peers;
    private final QuotaBounds bounds;
    private final BudgetExchange<String, PeerMessage.BudgetReply> budgets;
    private final AccountBudgets held;
    private final AccountLease.Holder reached = new ReachedHolder();
    private final Map<String, AccountLease> leases = new LinkedHashMap<>();
    private final Map<Long, Asked> asked = new LinkedHashMap<>();
    private List<ClientAccount> configured = List.of();
    private long configuredVersion = -1;

    private record Asked(AccountLease lease, AccountLease.GrantTime time) {}

    /**
     * Creates the exchange of a node.
     *
     * @param nodes number of nodes that are up, with this one
     */
    public AllowanceExchange(
            Scheduler scheduler, StructuredLog log, HubLinks peers, IntSupplier nodes, QuotaBounds bounds) {
        this.scheduler = scheduler;
        this.log = log;
        this.peers = peers;
        this.bounds = bounds;
        this.budgets = new BudgetExchange<>(scheduler, peers, nodes, account -> KEY_PREFIX + account);
        this.held = new AccountBudgets(scheduler, bounds, budgets, peers.self());
    }

    /** Starts to follow the nodes and hubs at intervals. */
    public void start() {
        budgets.start();
        update();
        scheduler.repeat(Duration.ofMillis(BudgetExchange.COUNT_INTERVAL_MS), this::update);
    }

    /**
     * Applies the accounts of a version of the configuration: drops what is kept for others, and prepares the budgets
     * that this node holds.
     */
    public void configure(long version, Collection<ClientAccount> accounts) {
        if (version <= configuredVersion) {
            return;
        }
        configuredVersion = version;
        configured = accounts.stream().filter(a -> a.allowance().isLimited()).toList();
        Set<String> names = new HashSet<>();
        configured.forEach(a -> names.add(a.name()));
        leases.entrySet()
                .removeIf(e -> !names.contains(e.getKey()) && e.getValue().version() <= version);
        held.configure(version, names);
        update();
    }

    @Override
    public void acquire(ClientAccount a, long configVersion, long cost, Consumer<Permit> done) {
        if (a.allowance().isLimited()) {
            lease(a, configVersion).acquire(Math.max(0, cost), done);
        } else {
            done.accept(Permit.UNLIMITED);
        }
    }

    @Override
    public void charge(ClientAccount a, long configVersion, long cost) {
        if (a.allowance().isLimited() && cost > 0) {
            lease(a, configVersion).charge(cost);
        }
    }

    @Override
    public void giveBack(ClientAccount a, long cost) {
        AccountLease l = leases.get(a.name());
        if (l != null && a.allowance().isLimited() && cost > 0) {
            l.giveBack(cost);
        }
    }

    /** Use of each account with a limit that this node has served. */
    public List<AccountUse> uses() {
        return leases.values().stream()
                .map(l -> l.describe(budgets.holder(l.account())))
                .toList();
    }

    /**
     * Units per second that an account uses over all nodes, as the holder of its budget last said; {@link
     * AccountUse#UNKNOWN} if it has not answered lately.
     */
    public double usePerSecond(String account) {
        AccountLease l = leases.get(account);
        return l == null ? AccountUse.UNKNOWN : l.allPerSecond();
    }

    /** Number of budgets that this node holds. */
    public int held() {
        return held.size();
    }

    /** Whether this node holds the budget of an account. */
    boolean holds(String account) {
        return budgets.find(account) != null;
    }

    /** Processes a message of a peer; returns false if it does not concern allowances. */
    public boolean receive(PeerMessage m) {
        if (m instanceof PeerMessage.BudgetRequest r) {
            PeerMessage.BudgetReply reply = held.answer(r);
            if (r.number() != 0) {
                peers.send(r.from(), reply);
            }
        } else if (m instanceof PeerMessage.BudgetReply r) {
            reply(r);
        } else {
            return false;
        }
        return true;
    }

    private void reply(PeerMessage.BudgetReply r) {
        Asked a = asked.get(r.number());
        if (a == null) {
            return;
        }
        boolean inTime = a.time().isWithin(scheduler, maxAgeMs());
        boolean late = inTime ? !budgets.complete(r.number(), r) : budgets.complete(r.number(), null);
        asked.remove(r.number());
        if (late && inTime && r.granted() > 0) {
            peers.send(r.from(), request(a.lease(), 0, 0, 0, 0, -r.granted()));
        }
    }

    /** Age up to which a grant is used for those that wait, and a late one returned, ms. */
    private long maxAgeMs() {
        return bounds.leaseMs() + BudgetExchange.REPLY_TIMEOUT_MS;
    }

    private void update() {
        held.update();
        if (held.takeHolderChanged()) {
            configured.forEach(a -> held.prepare(
                    a.name(),
                    configuredVersion,
                    a.allowance().perSecond(),
                    a.allowance().burst()));
        }
    }

    private AccountLease lease(ClientAccount a, long configVersion) {
        AccountLease l = leases.get(a.name());
        if (l == null) {
            if (leases.size() >= BudgetExchange.MAX_BUCKETS) {
                leases.remove(leases.keySet().iterator().next());
            }
            l = new AccountLease(scheduler, reached, a.name());
            leases.put(a.name(), l);
        }
        l.setLimit(configVersion, a.allowance().perSecond(), a.allowance().burst());
        return l;
    }

    private PeerMessage.BudgetRequest request(
            AccountLease l, long number, long amount, long least, long extra, long correction) {
        return new PeerMessage.BudgetRequest(
                peers.self(),
                number,
                l.account(),
                l.version(),
                l.perSecond(),
                l.burst(),
                amount,
                least,
                extra,
                correction);
    }

    /** Asks the holders over the network, or this node itself. */
    private final class ReachedHolder implements AccountLease.Holder {
        @Override
        public void ask(
                AccountLease l, long amount, long least, long extra, long correction, AccountLease.Answered done) {
            AccountLease.GrantTime now = AccountLease.GrantTime.now(scheduler);
            String holder = budgets.holder(l.account());
            if (budgets.isSelf(holder)) {
                done.answered(held.answer(request(l, 0, amount, least, extra, correction)), now);
                return;
            }
            long n = budgets.ask(
                    holder,
                    number -> request(l, number, amount, least, extra, correction),
                    0,
                    reply -> done.answered(reply, now),
                    null);
            if (asked.size() >= MAX_ASKED) {
                asked.remove(asked.keySet().iterator().next());
            }
            asked.put(n, new Asked(l, now));
        }

        @Override
        public void correct(AccountLease l, long correction) {
            String holder = budgets.holder(l.account());
            if (budgets.isSelf(holder)) {
                held.answer(request(l, 0, 0, 0, 0, correction));
            } else if (holder != null) {
                peers.send(holder, request(l, 0, 0, 0, 0, correction));
            }
        }

        @Override
        public long leaseMs() {
            return bounds.leaseMs();
        }

        @Override
        public int sharingNodes() {
            return held.mostNodes();
        }

        @Override
        public long localFromNanos() {
            return held.startedUntilNanos();
        }

        @Override
        public void localShareChanged(AccountLease l, boolean begins) {
            log.log(EventCode.ALLOWANCE_SHARE, l.account(), "local", begins, "holder", budgets.holder(l.account()));
        }
    }
}
