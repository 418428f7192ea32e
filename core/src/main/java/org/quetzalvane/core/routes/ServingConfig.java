package org.quetzalvane.core.routes;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** One complete version of the operator's configuration. Immutable. */
public final class ServingConfig {
    private final long version;
    private final Map<String, List<Route>> routesByHost = new HashMap<>();
    private final Map<String, ServiceSpec> services = new HashMap<>();
    private final IngressLimits limits;
    private final AccountTable accounts;

    /** Creates a version without client accounts from its parts. */
    public ServingConfig(long version, List<Route> routes, List<ServiceSpec> services, IngressLimits limits) {
        this(version, routes, services, limits, null);
    }

    /**
     * Creates a version from its parts.
     *
     * @param accounts client accounts, or null if callers are not identified
     */
    public ServingConfig(
            long version, List<Route> routes, List<ServiceSpec> services, IngressLimits limits, AccountTable accounts) {
        this.version = version;
        this.limits = limits;
        this.accounts = accounts;
        for (Route r : routes) {
            routesByHost.computeIfAbsent(r.host(), h -> new ArrayList<>()).add(r);
        }
        Comparator<Route> longestFirst =
                Comparator.comparingInt((Route r) -> r.prefix().length()).reversed();
        routesByHost.values().forEach(l -> l.sort(longestFirst));
        services.forEach(s -> this.services.put(s.name(), s));
    }

    public long version() {
        return version;
    }

    public IngressLimits limits() {
        return limits;
    }

    /** The client accounts; empty if this version does not identify callers. */
    public Optional<AccountTable> accounts() {
        return Optional.ofNullable(accounts);
    }

    /** The route of a host with the longest prefix that matches the path. */
    public Optional<Route> match(String host, String path) {
        for (Route r : routesByHost.getOrDefault(host, List.of())) {
            if (path.startsWith(r.prefix())) {
                return Optional.of(r);
            }
        }
        return Optional.empty();
    }

    /** Whether a route has streams that callers may resume. */
    public boolean streamsResumable() {
        return routesByHost.values().stream()
                .flatMap(List::stream)
                .anyMatch(r -> r.kind() == RouteKind.STREAMING && r.retryable());
    }

    /** The service with this name, or null if this version lacks it. */
    public ServiceSpec service(String name) {
        return services.get(name);
    }
}
