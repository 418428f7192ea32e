package org.quetzalvane.core.serve;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.quetzalvane.core.ResultCode;
import org.quetzalvane.core.fleet.Endpoint;
import org.quetzalvane.core.routes.RequiredVersions;
import org.quetzalvane.core.routes.Route;
import org.quetzalvane.core.routes.ServiceSpec;

/**
 * Searches for an endpoint that can continue a request whose endpoint is silent.
 *
 * <p>The silent endpoint may be sound and go on, so its attempt stays open until another endpoint can take the request
 * now, with its adapter resident, and a retry has been granted. The search ends without effect when the silent attempt
 * goes on or ends. Confined to the event loop.
 */
final class AttemptReplacement implements EngineAcquisition.Handler {
    private final ServingContext context;
    private final CallerRequest request;
    private final ServiceSpec service;
    private final Handler handler;
    private final Attempt silent;
    private final long lastProgressNanos;
    private final Set<String> excluded;
    private final EngineAcquisition acquisition;
    private boolean ended;

    /** The request that needs a replacement. */
    interface Handler {
        /** Ids of the endpoints that have failed the request. */
        Set<String> triedEndpoints();

        /** Software version that the rest of the response must come from, or null if any will do. */
        String requiredSoftwareVersion();

        /** Takes one retry from the retry budget, if there is one left. */
        boolean tryAcquireRetry();

        /** Gives the silent attempt up and sends the request to another endpoint. */
        void replace(Attempt silent, Endpoint by, int version);
    }

    /** Creates a search; {@link #selectNext} starts it. */
    AttemptReplacement(Attempt.Shared shared, ServiceSpec service, Handler handler, Attempt silent, long waitsSince) {
        this.context = shared.context();
        this.request = shared.request();
        this.service = service;
        this.handler = handler;
        this.silent = silent;
        this.lastProgressNanos = silent.lastProgressNanos();
        this.excluded = new HashSet<>(handler.triedEndpoints());
        excluded.add(silent.endpoint().id());
        Route route = shared.route();
        acquisition = new EngineAcquisition(context, request, route, this);
        acquisition.resetAfterAttempt(waitsSince);
    }

    @Override
    public boolean isDone() {
        return ended || !silent.isOpen() || silent.lastProgressNanos() != lastProgressNanos;
    }

    @Override
    public boolean mayHaveRun() {
        return true;
    }

    @Override
    public void selectNext() {
        List<Endpoint> free = context.endpoints().usable(service.name(), handler.requiredSoftwareVersion()).stream()
                .filter(this::canTakeRequest)
                .toList();
        if (free.isEmpty()) {
            ended = true;
        } else if (service.servesModels() && request.adapter() != null) {
            acquisition.tryNext(free, excluded);
        } else {
            send(context.serviceEndpointSelector().select(free, excluded, request.id()), RequiredVersions.ANY_VERSION);
        }
    }

    @Override
    public void send(Endpoint e, int version) {
        if (isDone()) {
            return;
        }
        ended = true;
        if (handler.tryAcquireRetry()) {
            handler.replace(silent, e, version);
        }
    }

    @Override
    public void giveUp(ResultCode code, long retryAfterMs, String cause) {
        ended = true;
    }

    private boolean canTakeRequest(Endpoint e) {
        return !excluded.contains(e.id())
                && !context.outlierDetector().isSuspended(e.id())
                && context.endpointLoads().total(e.id()).requests() < e.requestSlots();
    }
}
