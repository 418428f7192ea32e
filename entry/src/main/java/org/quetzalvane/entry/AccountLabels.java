package org.quetzalvane.entry;

import java.util.HashSet;
import java.util.Set;

/**
 * Values of the metric label {@code account}: the names of the first accounts seen, and one common value for the rest,
 * so that the number of counters stays bounded. Thread-safe.
 */
final class AccountLabels {
    /** Largest number of accounts with counters of their own. */
    static final int MAX_ACCOUNTS = 64;
    /** Label of all other accounts. */
    static final String OTHER = "other";

    private final Set<String> names = new HashSet<>();

    /** Label value of an account, escaped for the text format. */
    synchronized String of(String account) {
        if (!names.contains(account) && names.size() >= MAX_ACCOUNTS) {
            return OTHER;
        }
        names.add(account);
        return account.replace("\\", "\\\\").replace("\"", "\\\"");
    }
}
