package org.quetzalvane.core.serve;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.quetzalvane.core.ResultCode;
import org.quetzalvane.core.choice.RetryBudgetShare;
import org.quetzalvane.core.fleet.Endpoint;
import org.quetzalvane.core.routes.RequiredVersions;
import org.quetzalvane.core.routes.Route;
import org.quetzalvane.core.routes.ServiceSpec;
import org.quetzalvane.core.time.Scheduler;

/**
 * Replaces a silent attempt by one at another endpoint.
 *
 * <p>The silent endpoint may be sound and go on, so its attempt stays open until another endpoint has taken the
 * request: a retry is reserved, an endpoint is searched that has a free slot and the adapter resident, the request
 * is sent there, and the endpoint answers with success or does not refuse for {@link #ACCEPTANCE_MS}. If the
 * silent attempt goes on before that, the replacement is withdrawn; if the other endpoint refuses, the silent
 * attempt remains. Confined to the event loop.
 */
final class AttemptReplacement implements EngineAcquisition.Handler {
    /**
     * Time without a refusal after which an endpoint counts as having taken the request, ms; below the 400 ms for which
     * the platform lets two endpoints work on one request.
     */
    static final long ACCEPTANCE_MS = 250;

    private final ServingContext context;
    private final CallerRequest request;
    private final Route route;
    private final ServiceSpec service;
    private final Handler handler;
    private final Attempt silent;
    private final RetryBudgetShare.Reservation retry;
    private final Set<String> excluded;
    private final EngineAcquisition acquisition;
    private Attempt candidate;
    private Scheduler.Timer acceptance;
    private boolean awaitingPermit;
    private boolean ended;

    /** The request whose attempt is silent. */
    interface Handler {
        /** Ids of the endpoints that have failed the request. */
        Set<String> triedEndpoints();

        /** Software version that the rest of the response must come from, or null if any will do. */
        String requiredSoftwareVersion();

        /** Creates an attempt at another endpoint beside the silent one; null if none may be sent any more. */
        Attempt createCandidate(Endpoint e, RetryBudgetShare.Reservation retry);

        void sendCandidate(Attempt candidate, int version);

        /** Gives the silent attempt up; the candidate takes its place. */
        void replace(Attempt silent, Attempt candidate);
    }

    /**
     * Creates a replacement; {@link #selectNext} starts the search.
     *
     * @param retry the retry that the candidate uses; released if there is none, or if it is not written
     * @param waitsSince time since which the caller has received nothing
     */
    AttemptReplacement(
            Attempt.Shared shared,
            ServiceSpec service,
            Handler handler,
            Attempt silent,
            RetryBudgetShare.Reservation retry,
            long waitsSince) {
        this.context = shared.context();
        this.request = shared.request();
        this.route = shared.route();
        this.service = service;
        this.handler = handler;
        this.silent = silent;
        this.retry = retry;
        this.excluded = new HashSet<>(handler.triedEndpoints());
        excluded.add(silent.endpoint().id());
        acquisition = new EngineAcquisition(context, request, route, this);
        acquisition.resetAfterAttempt(waitsSince);
    }

    /** Whether the replacement has succeeded, failed or been withdrawn. */
    boolean hasEnded() {
        return ended;
    }

    /** Whether an attempt is the candidate that has not been accepted yet. */
    boolean isCandidate(Attempt a) {
        return !ended && a == candidate;
    }

    /**
     * Ends the replacement without effect, because the silent attempt goes on or the request ends; returns the
     * candidate that was cancelled, or null.
     */
    Attempt withdraw() {
        if (ended) {
            return null;
        }
        if (candidate != null) {
            candidate.cancel();
            acceptance.cancel();
        }
        retry.release();
        ended = true;
        return candidate;
    }

    /** The endpoint of the candidate has refused or failed. */
    void candidateFailed() {
        acceptance.cancel();
        retry.release();
        ended = true;
    }

    /** Makes the candidate the attempt of the request; returns false if there is none yet. */
    boolean accept() {
        if (ended || candidate == null) {
            return false;
        }
        acceptance.cancel();
        ended = true;
        handler.replace(silent, candidate);
        return true;
    }

    @Override
    public boolean isDone() {
        return ended || candidate != null || awaitingPermit;
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
            withdraw();
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
        awaitingPermit = true;
        context.permits().acquire(e, PermitGate.rank(route, true), 0, permit -> {
            awaitingPermit = false;
            if (permit.granted() && !sendPermitted(e, version)) {
                context.permits().giveBack(e);
            }
            if (candidate == null) {
                withdraw();
            }
        });
    }

    /** Sends the candidate; returns false if none may be sent any more. */
    private boolean sendPermitted(Endpoint e, int version) {
        boolean mayAsk = !ended && context.endpoints().backoffMs(e) == 0;
        Attempt created = mayAsk ? handler.createCandidate(e, retry) : null;
        if (created == null) {
            return false;
        }
        candidate = created;
        acceptance = context.scheduler().schedule(Duration.ofMillis(ACCEPTANCE_MS), this::accept);
        handler.sendCandidate(candidate, version);
        return true;
    }

    @Override
    public void giveUp(ResultCode code, long retryAfterMs, String cause) {
        withdraw();
    }

    private boolean canTakeRequest(Endpoint e) {
        return !excluded.contains(e.id())
                && !context.outlierDetector().isSuspended(e.id())
                && context.endpointLoads().total(e.id()).requests() < e.requestSlots();
    }
}
