package org.quetzalvane.core.limit;

import java.util.function.Consumer;

import org.quetzalvane.core.routes.ClientAccount;

/** Port for the allowances of client accounts, which all nodes share. Confined to the event loop. */
public interface AccountAllowances {
    /** Allowances of a node whose accounts have no limits. */
    AccountAllowances UNLIMITED = new AccountAllowances() {
        @Override
        public void acquire(ClientAccount a, long configVersion, long cost, Consumer<Permit> done) {
            done.accept(Permit.UNLIMITED);
        }

        @Override
        public void charge(ClientAccount a, long configVersion, long cost) {}

        @Override
        public void giveBack(ClientAccount a, long cost) {}
    };

    /**
     * Takes the cost of a request from the allowance of its account, or denies it at once.
     *
     * @param configVersion version of the configuration that the account is from
     * @param cost units of the allowance
     * @param done called once, possibly before this method returns; the wait of a denied permit is the time after which
     *     the request could be granted, ms
     */
    void acquire(ClientAccount a, long configVersion, long cost, Consumer<Permit> done);

    /**
     * Charges a further attempt of a request that was granted; it is never denied, the allowance goes into debt.
     *
     * @param configVersion version of the configuration that the account is from
     */
    void charge(ClientAccount a, long configVersion, long cost);

    /** Gives back the cost of an attempt that certainly did not run. */
    void giveBack(ClientAccount a, long cost);
}
