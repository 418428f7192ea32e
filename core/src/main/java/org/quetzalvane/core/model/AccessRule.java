package org.quetzalvane.core.model;

/**
 * Permits a caller to use an adapter or a service. Access without a matching rule is denied. Immutable.
 *
 * @param name unique name
 * @param caller name of the caller, or {@code *} for every caller
 * @param target {@code adapter:NAME} or {@code service:NAME}, where the name {@code *} stands for all
 * @param fromVersion lowest adapter version allowed; ignored for services
 * @param toVersion highest adapter version allowed; ignored for services
 */
public record AccessRule(String name, String caller, String target, int fromVersion, int toVersion)
        implements ConfigObject {
    private static final String ANY = "*";

    @Override
    public Kind kind() {
        return Kind.ACCESS_RULE;
    }

    /** Whether this rule permits the caller to use the adapter version. */
    public boolean allowsAdapter(String callerName, AdapterVersion v) {
        return matches(callerName, "adapter:", v.adapter()) && v.version() >= fromVersion && v.version() <= toVersion;
    }

    /** Whether this rule permits the caller to use the service. */
    public boolean allowsService(String callerName, String service) {
        return matches(callerName, "service:", service);
    }

    private boolean matches(String callerName, String prefix, String targetName) {
        boolean callerMatches = caller.equals(ANY) || caller.equals(callerName);
        boolean targetMatches = target.equals(prefix + ANY) || target.equals(prefix + targetName);
        return callerMatches && targetMatches;
    }
}
