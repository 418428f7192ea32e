package org.quetzalvane.core.config;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

import org.quetzalvane.core.model.AccessRule;

/**
 * The access rules by caller and target, so that a decision looks at the rules that name both and at no others.
 *
 * <p>Not thread-safe.
 */
final class RuleIndex {
    private static final String ANY = "*";

    private final Map<Pair, List<AccessRule>> rules = new HashMap<>();

    private record Pair(String caller, String target) {}

    void add(AccessRule rule) {
        rules.merge(pair(rule), List.of(rule), (a, b) -> {
            List<AccessRule> both = new java.util.ArrayList<>(a);
            both.addAll(b);
            return List.copyOf(both);
        });
    }

    void remove(AccessRule rule) {
        rules.computeIfPresent(pair(rule), (pair, list) -> {
            List<AccessRule> rest = list.stream().filter(r -> !r.equals(rule)).toList();
            return rest.isEmpty() ? null : rest;
        });
    }

    /**
     * Whether a rule for the caller and the target, or for all of either, fits.
     *
     * @param kind {@code adapter:} or {@code service:}
     */
    boolean any(String caller, String kind, String name, Predicate<AccessRule> fits) {
        return anyOf(caller, kind + name, fits)
                || anyOf(caller, kind + ANY, fits)
                || anyOf(ANY, kind + name, fits)
                || anyOf(ANY, kind + ANY, fits);
    }

    private boolean anyOf(String caller, String target, Predicate<AccessRule> fits) {
        return rules.getOrDefault(new Pair(caller, target), List.of()).stream().anyMatch(fits);
    }

    private static Pair pair(AccessRule rule) {
        return new Pair(rule.caller(), rule.target());
    }
}
