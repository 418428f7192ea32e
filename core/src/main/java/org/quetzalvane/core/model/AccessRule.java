package org.quetzalvane.core.model;

/**
 * Lets a caller use an adapter or a service. Without a matching rule access is denied. Immutable.
 *
 * @param name unique name
 * @param caller the caller's name, or {@code *} for every caller
 * @param target {@code adapter:NAME}, {@code service:NAME}, or with {@code *} as the name
 * @param fromVersion lowest adapter version allowed
 * @param toVersion highest adapter version allowed
 */
public record AccessRule(String name, String caller, String target, int fromVersion, int toVersion)
        implements ConfigObject {
    private static final String ANY = "*";

    @Override
    public Kind kind() {
        return Kind.ACCESS_RULE;
    }

    /** Whether this rule lets the caller use the adapter in the given version. */
    public boolean allowsAdapter(String callerName, AdapterVersion v) {
        return matches(callerName, "adapter:", v.adapter()) && v.version() >= fromVersion && v.version() <= toVersion;
    }

    /** Whether this rule lets the caller use the service. */
    public boolean allowsService(String callerName, String service) {
        return matches(callerName, "service:", service);
    }

    private boolean matches(String callerName, String prefix, String targetName) {
        boolean callerFits = caller.equals(ANY) || caller.equals(callerName);
        boolean targetFits = target.equals(prefix + ANY) || target.equals(prefix + targetName);
        return callerFits && targetFits;
    }
}
