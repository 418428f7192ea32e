package org.quetzalvane.core.routes;

import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The client accounts of one version of the configuration, found by the hashes of their keys. It holds no key.
 * Immutable.
 */
public final class AccountTable {
    private final List<ClientAccount> accounts;
    private final Map<KeyHash, ClientAccount> byKey;

    /**
     * Creates a table.
     *
     * @param accounts all accounts, also those without keys
     * @param byKey account of each key
     */
    public AccountTable(List<ClientAccount> accounts, Map<KeyHash, ClientAccount> byKey) {
        this.accounts = List.copyOf(accounts);
        this.byKey = Map.copyOf(byKey);
    }

    /** All accounts, in the order of the configuration. */
    public List<ClientAccount> accounts() {
        return accounts;
    }

    /** The account that a key belongs to. */
    public Optional<ClientAccount> find(KeyHash key) {
        return Optional.ofNullable(byKey.get(key));
    }
}
