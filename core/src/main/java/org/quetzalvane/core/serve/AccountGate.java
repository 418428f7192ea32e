package org.quetzalvane.core.serve;

import java.util.IdentityHashMap;
import java.util.Map;
import java.util.function.Consumer;

import org.quetzalvane.core.ResultCode;
import org.quetzalvane.core.limit.Permit;
import org.quetzalvane.core.limit.RetryAfter;
import org.quetzalvane.core.routes.AccountTable;
import org.quetzalvane.core.routes.Allowance;
import org.quetzalvane.core.routes.ClientAccount;
import org.quetzalvane.core.routes.KeyHash;
import org.quetzalvane.core.routes.Route;
import org.quetzalvane.core.routes.ServingConfig;

/**
 * The client account of one request: looks it up by the request's key on arrival and again before each send, because
 * the key may be revoked meanwhile, and keeps its allowance in step with what is sent.
 *
 * <p>Invariant: the allowance is charged for each attempt that may have run, and for nothing else once the request has
 * ended. Without client accounts in the configuration, everything is permitted. Confined to the event loop.
 */
final class AccountGate {
    private final ServingContext context;
    private final CallerRequest request;
    private final Map<Attempt, Charge> charges = new IdentityHashMap<>(2);
    private KeyHash key;
    private ClientAccount account;
    private long configVersion;
    private boolean accountsConfigured;
    private Charge acquired;
    private boolean closed;

    private record Charge(ClientAccount account, long cost) {}

    AccountGate(ServingContext context, CallerRequest request) {
        this.context = context;
        this.request = request;
    }

    /** Looks up the account of a request that has just arrived; returns why it is refused, or null. */
    Refusal checkArrival(Route route) {
        Refusal refusal = check(route);
        if (refusal == null
                && account != null
                && account.allowance().unit() == Allowance.Unit.TOKENS
                && request.tokenCounts().statement() == TokenCounts.Statement.MALFORMED) {
            return new Refusal(ResultCode.MALFORMED_REQUEST, -1, "stated token counts are malformed");
        }
        return refusal;
    }

    /** Looks up the account in the configuration in force; returns why the request must not be sent, or null. */
    Refusal check(Route route) {
        ServingConfig c = context.config().current().orElseThrow();
        AccountTable accounts = c.accounts().orElse(null);
        configVersion = c.version();
        accountsConfigured = accounts != null;
        if (accounts == null) {
            account = null;
            return null;
        }
        boolean isPublic = c.match(request.host(), request.path()).orElse(route).isPublic();
        return switch (request.credentials().kind()) {
            case NONE -> withoutKey(isPublic);
            case MALFORMED -> unauthenticated("several Authorization headers, or an empty or over-long key");
            case KEY -> withKey(accounts, isPublic);
        };
    }

    private Refusal withoutKey(boolean isPublic) {
        if (!isPublic) {
            return missing("no API key");
        }
        account = null;
        return null;
    }

    private Refusal withKey(AccountTable accounts, boolean isPublic) {
        if (!isPublic && !context.keysVerifiable().getAsBoolean()) {
            return new Refusal(
                    ResultCode.NOT_READY, RequestFlow.DEFAULT_RETRY_AFTER_MS, "the known API keys may be out of date");
        }
        if (key == null) {
            key = request.credentials().keyHash();
        }
        ClientAccount found = accounts.find(key).orElse(null);
        if (found == null) {
            return missing("unknown API key in configuration version " + configVersion);
        }
        account = found;
        return null;
    }

    /** Refuses what the configuration does not allow; the caller may come back if a newer one may allow it. */
    private Refusal missing(String cause) {
        if (!context.config().mayBeOutOfDate()) {
            return unauthenticated(cause);
        }
        long retryAfterMs = RetryAfter.spread(RequestFlow.DEFAULT_RETRY_AFTER_MS, request.id());
        return new Refusal(ResultCode.NOT_READY, retryAfterMs, cause);
    }

    private static Refusal unauthenticated(String cause) {
        return new Refusal(ResultCode.UNAUTHENTICATED, -1, cause);
    }

    /** Name of the account as of the last successful lookup, or null if the request has none. */
    String accountName() {
        return account == null ? null : account.name();
    }

    /** Whether endpoints receive the caller's credentials. */
    boolean forwardsCredentials() {
        return !accountsConfigured;
    }

    /** The route with the priority of the account, if it has one. */
    Route prioritized(Route route) {
        int priority = account == null ? route.priority() : account.priorityOr(route.priority());
        return priority == route.priority() ? route : route.withPriority(priority);
    }

    /**
     * Acquires the allowance for the first attempt.
     *
     * @param decided called once, possibly before this method returns, unless the request ends first
     */
    void acquire(Consumer<Permit> decided) {
        if (account == null) {
            decided.accept(Permit.UNLIMITED);
            return;
        }
        Charge charge = charge();
        context.allowances().acquire(charge.account(), configVersion, charge.cost(), permit -> {
            if (permit.granted()) {
                acquired = charge;
            }
            if (closed) {
                giveBackUnused();
            } else {
                decided.accept(permit);
            }
        });
    }

    /** An attempt is sent now; the first one uses the acquired allowance, each further one is charged. */
    void sent(Attempt a) {
        if (acquired != null && acquired.account().name().equals(accountName())) {
            charges.put(a, acquired);
            acquired = null;
            return;
        }
        giveBackUnused();
        if (account != null) {
            Charge charge = charge();
            context.allowances().charge(charge.account(), configVersion, charge.cost());
            charges.put(a, charge);
        }
    }

    /** An attempt that was sent certainly did not run. */
    void notRun(Attempt a) {
        Charge charge = charges.remove(a);
        if (charge != null) {
            context.allowances().giveBack(charge.account(), charge.cost());
        }
    }

    /** The request has ended. */
    void close() {
        closed = true;
        giveBackUnused();
    }

    private Charge charge() {
        return new Charge(
                account, account.allowance().cost(request.tokenCounts().stated()));
    }

    private void giveBackUnused() {
        if (acquired != null) {
            context.allowances().giveBack(acquired.account(), acquired.cost());
            acquired = null;
        }
    }
}
