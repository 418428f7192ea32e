package org.quetzalvane.core.config;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

import org.quetzalvane.core.model.AccessRule;
import org.quetzalvane.core.model.AdapterVersion;

/**
 * Access rules by caller and target, so that a check looks at the few rules that can match.
 *
 * <p>Invariant: gives the same answer as trying every rule. Not thread-safe by itself; {@link ConfigTable} guards it.
 */
final class RuleIndex {
    private static final String ANY = "*";

    private final Map<Key, List<AccessRule>> rules = new HashMap<>();

    private record Key(String caller, String target) {}

    void add(AccessRule rule) {
        rules.computeIfAbsent(key(rule), k -> new ArrayList<>(1)).add(rule);
    }

    void remove(AccessRule rule) {
        rules.computeIfPresent(key(rule), (k, list) -> {
            list.remove(rule);
            return list.isEmpty() ? null : list;
        });
    }

    boolean allowsAdapter(String caller, AdapterVersion v) {
        return any(caller, "adapter:", v.adapter(), r -> r.allowsAdapter(caller, v));
    }

    boolean allowsService(String caller, String service) {
        return any(caller, "service:", service, r -> r.allowsService(caller, service));
    }

    private boolean any(String caller, String prefix, String name, Predicate<AccessRule> allows) {
        return at(caller, prefix + name, allows)
                || at(caller, prefix + ANY, allows)
                || at(ANY, prefix + name, allows)
                || at(ANY, prefix + ANY, allows);
    }

    private boolean at(String caller, String target, Predicate<AccessRule> allows) {
        List<AccessRule> list = rules.get(new Key(caller, target));
        return list != null && list.stream().anyMatch(allows);
    }

    private static Key key(AccessRule rule) {
        return new Key(rule.caller(), rule.target());
    }
}
