package org.quetzalvane.core.serve;

import java.util.List;

import org.quetzalvane.core.ResultCode;
import org.quetzalvane.core.fleet.Endpoint;
import org.quetzalvane.core.limit.RetryAfter;
import org.quetzalvane.core.routes.RequiredVersions;
import org.quetzalvane.core.routes.ServiceSpec;

/**
 * Selects the endpoint of the next attempt of one request, or ends the request if none is left. Confined to the event
 * loop.
 */
final class EndpointSelection {
    private final ServingContext context;
    private final CallerRequest request;
    private final ServiceSpec service;
    private final AttemptHistory history;
    private final EngineAcquisition acquisition;
    private final EngineAcquisition.Handler handler;

    EndpointSelection(
            ServingContext context,
            CallerRequest request,
            ServiceSpec service,
            AttemptHistory history,
            EngineAcquisition acquisition,
            EngineAcquisition.Handler handler) {
        this.context = context;
        this.request = request;
        this.service = service;
        this.history = history;
        this.acquisition = acquisition;
        this.handler = handler;
    }

    /**
     * Selects an endpoint that was not tried yet.
     *
     * @param softwareVersion software version that the endpoint must have, or null if any will do
     */
    void next(String softwareVersion) {
        List<Endpoint> usable = context.endpoints().usable(service.name(), softwareVersion);
        if (usable.isEmpty()) {
            giveUpWithoutEndpoint(softwareVersion);
            return;
        }
        if (service.servesModels() && request.adapter() != null) {
            acquisition.tryNext(usable, history.triedEndpoints());
            return;
        }
        Endpoint e = context.serviceEndpointSelector().select(usable, history.triedEndpoints(), request.id());
        if (e == null) {
            giveUpWithNoEngine(usable.size());
        } else {
            handler.send(e, RequiredVersions.ANY_VERSION);
        }
    }

    private void giveUpWithoutEndpoint(String softwareVersion) {
        long backoffMs = context.endpoints().backoffMs(service.name(), softwareVersion);
        if (backoffMs > 0) {
            long retryAfterMs = RetryAfter.spread(backoffMs, request.id());
            String cause = "all endpoints asked to wait, shortest_ms=" + backoffMs;
            handler.giveUp(ResultCode.OVERLOADED, retryAfterMs, cause);
        } else if (softwareVersion != null) {
            handler.giveUp(
                    ResultCode.STREAM_NOT_RESUMABLE,
                    RequestFlow.DEFAULT_RETRY_AFTER_MS,
                    "no endpoint of software version " + softwareVersion);
        } else {
            giveUpWithNoEngine(0);
        }
    }

    private void giveUpWithNoEngine(int usable) {
        handler.giveUp(
                ResultCode.NO_ENGINE,
                RequestFlow.DEFAULT_RETRY_AFTER_MS,
                "endpoints=" + usable + " tried=" + history.triedEndpoints().size());
    }
}
