package org.quetzalvane.core.serve;

import org.quetzalvane.core.ResultCode;
import org.quetzalvane.core.limit.RetryAfter;
import org.quetzalvane.core.routes.AdapterRef;
import org.quetzalvane.core.routes.ConfigSource;
import org.quetzalvane.core.routes.CurrentConfig;
import org.quetzalvane.core.routes.Route;
import org.quetzalvane.core.routes.ServiceSpec;
import org.quetzalvane.core.routes.ServingConfig;

/**
 * The route and the service of a request, or why it has none. Immutable.
 *
 * @param route route, or null if there is none
 * @param service service, or null if there is none
 * @param refusal result code of a request without a service, or null
 * @param retryAfterMs retry time of a refusal, ms; -1 if the request must not be repeated
 * @param cause reason of a refusal, for the log
 */
record RouteMatch(Route route, ServiceSpec service, ResultCode refusal, long retryAfterMs, String cause) {

    static RouteMatch of(CurrentConfig config, CallerRequest request) {
        if (config.current().isEmpty()) {
            return refused(
                    null, ResultCode.NOT_READY, RequestFlow.DEFAULT_RETRY_AFTER_MS, "no configuration received yet");
        }
        ServingConfig c = config.current().get();
        Route route = c.match(request.host(), request.path()).orElse(null);
        if (route == null) {
            String cause = "no route for the host and path in " + describe(c, config.source());
            return missing(config, request, null, ResultCode.UNKNOWN_PATH, cause);
        }
        ServiceSpec service = c.service(route.serviceFor(request.id()));
        if (service == null) {
            String cause = "the service of the route is missing in " + describe(c, config.source());
            return missing(config, request, route, ResultCode.UNKNOWN_SERVICE, cause);
        }
        AdapterRef adapter = request.adapter();
        if (adapter != null && !adapter.isValid()) {
            return refused(route, ResultCode.UNKNOWN_ADAPTER, -1, "the name of the adapter is too long");
        }
        return new RouteMatch(route, service, null, -1, null);
    }

    /** Refuses what the configuration lacks; the caller may come back if a newer one may have it. */
    private static RouteMatch missing(
            CurrentConfig config, CallerRequest request, Route route, ResultCode code, String cause) {
        if (!config.mayBeOutOfDate()) {
            return refused(route, code, -1, cause);
        }
        long retryAfterMs = RetryAfter.spread(RequestFlow.DEFAULT_RETRY_AFTER_MS, request.id());
        return refused(route, ResultCode.NOT_READY, retryAfterMs, cause);
    }

    private static String describe(ServingConfig c, ConfigSource source) {
        return "configuration version " + c.version() + ", source=" + source.name() + " age_ms=" + source.ageMs();
    }

    private static RouteMatch refused(Route route, ResultCode code, long retryAfterMs, String cause) {
        return new RouteMatch(route, null, code, retryAfterMs, cause);
    }
}
