package org.quetzalvane.core.serve;

import java.util.HashSet;
import java.util.Set;

import org.quetzalvane.core.fleet.Endpoint;
import org.quetzalvane.core.routes.Route;

/**
 * What became of the attempts of one request that have ended. The request may have run as soon as one attempt was
 * neither refused nor without a connection. Confined to the event loop.
 */
final class AttemptHistory {
    /** Attempts refused by endpoints without running the request, after which the request is refused. */
    private static final int MAX_REFUSED = 3;
    /** Failed connections after which the request is refused. */
    private static final int MAX_FAILED_CONNECTS = 4;

    private final ServingContext context;
    private final Set<String> triedEndpoints = new HashSet<>();
    private String lastEndpoint;
    private int mayHaveRun;
    private int refused;
    private int failedConnects;

    AttemptHistory(ServingContext context) {
        this.context = context;
    }

    /** Ids of the endpoints that are not asked again. */
    Set<String> triedEndpoints() {
        return triedEndpoints;
    }

    /** Id of the endpoint of the last attempt that ended; null if none has. */
    String lastEndpoint() {
        return lastEndpoint;
    }

    /** Number of attempts that may have run. */
    int mayHaveRun() {
        return mayHaveRun;
    }

    /** Number of attempts that ended without a complete response, also those that the endpoint refused. */
    int sends() {
        return mayHaveRun + refused;
    }

    /** Whether the route permits another attempt after one that is under way. */
    boolean permitsAnother(Route route) {
        return route.retryable() && mayHaveRun + 1 < route.maxAttempts();
    }

    void recordEnd(Attempt a) {
        lastEndpoint = a.endpoint().id();
        triedEndpoints.add(lastEndpoint);
    }

    /** Records that an endpoint did not run the request; returns whether another one may be asked. */
    boolean recordRefusal(Attempt a) {
        recordEnd(a);
        return ++refused < MAX_REFUSED;
    }

    /** Records that no connection could be made; returns whether another endpoint may be asked. */
    boolean recordUnreachable(Attempt a, String cause) {
        recordEnd(a);
        Endpoint e = a.endpoint();
        AttemptLog.logIfSuspended(context, e, context.outlierDetector().recordUnreachable(e.id()), cause);
        return ++failedConnects < MAX_FAILED_CONNECTS;
    }

    /** Records an attempt that may have run and has no complete response. */
    void recordFailure(Attempt a, String cause) {
        recordEnd(a);
        Endpoint e = a.endpoint();
        AttemptLog.logIfSuspended(context, e, context.outlierDetector().recordFailure(e.id()), cause);
        mayHaveRun++;
    }

    /** Records an attempt that may have run and was cancelled through no fault of its endpoint. */
    void recordCancelled() {
        mayHaveRun++;
    }
}
