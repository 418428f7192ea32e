package org.quetzalvane.core.serve;

import java.time.Duration;
import java.util.List;
import java.util.Set;

import org.quetzalvane.core.ResultCode;
import org.quetzalvane.core.choice.EngineSelector;
import org.quetzalvane.core.fleet.Endpoint;
import org.quetzalvane.core.limit.RetryAfter;
import org.quetzalvane.core.residency.AdapterLoader;
import org.quetzalvane.core.residency.LoadRequest;
import org.quetzalvane.core.routes.Route;

/**
 * Acquires an engine for a request: applies admission, selects an engine and, if the adapter is not resident on it, has
 * the adapter loaded first.
 *
 * <p>A request that was not run waits for an adapter slot at most {@link #LOAD_WAIT_OBJECTIVE_FACTOR} latency
 * objectives; the load queue at the owner refuses it earlier if too many adapters wait. Confined to the event loop.
 */
final class EngineAcquisition {
    /** Number of engines that are asked to load the adapter before the request is refused. */
    private static final int MAX_LOAD_REQUESTS = 3;
    /**
     * Longest wait for loads, as a multiple of the latency objective; below the idle timeout of callers, which is at
     * least four objectives ({@link Route#callerIdleTimeoutMs()}).
     */
    private static final double LOAD_WAIT_OBJECTIVE_FACTOR = 1.6;
    /**
     * Longest wait for loads of a request that may have run, as a fraction of its caller's idle timeout; the rest of
     * the timeout is left for the first token.
     */
    private static final double MAY_HAVE_RUN_WAIT_IDLE_TIMEOUT_FACTOR = 0.85;
    /** Interval at which a request that may have run asks again for an adapter slot, ms. */
    private static final long MAY_HAVE_RUN_POLL_INTERVAL_MS = 100;
    /**
     * Shortest remaining wait for which a load is requested, ms: the duration of one load from the weight store, as in
     * {@code LoadTimeEstimator}.
     */
    private static final long MIN_LOAD_WAIT_MS = 265;
    /** Shortest remaining wait for which a load is asked for again, ms. */
    private static final long MIN_REPEATED_LOAD_WAIT_MS = 60;
    /**
     * Time since the last known use of an adapter after which its residency is confirmed with the engine's owner before
     * a request is sent, ms.
     */
    private static final long CONFIRM_RESIDENCY_AFTER_MS = 100;
    /** Interval at which a request selects an engine again while the selected engine has no owner, ms. */
    private static final long NO_OWNER_RETRY_INTERVAL_MS = 250;
    /** Longest wait for an engine to get an owner, as a multiple of the latency objective. */
    private static final double NO_OWNER_WAIT_OBJECTIVE_FACTOR = 1.5;
    /**
     * Retry time sent to the caller while the selected engine has no owner, ms: about half of the time that reassigning
     * a partition takes, 2 to 3 s, so that callers retry early.
     */
    private static final long NO_OWNER_RETRY_AFTER_MS = 1_500;

    /** Urgency rank of the load of an additional copy of an adapter, below that of every route. */
    private static final int COPY_LOAD_RANK = Integer.MAX_VALUE;

    private final ServingContext context;
    private final CallerRequest request;
    private final Route route;
    private final Handler handler;
    private final StreamEnginePreference enginePreference;
    private long startNanos;
    private int loadRequests;
    private boolean admitted;
    private boolean loadRepeated;

    /** Receives the decisions of the acquisition; implemented by the request that needs an engine. */
    interface Handler {
        void send(Endpoint engine, int version);

        /**
         * Ends the request: refuses it with the code if no attempt may have run, otherwise fails it with an unknown
         * outcome.
         */
        void giveUp(ResultCode code, long retryAfterMs, String cause);

        /** Selects an engine again. */
        void selectNext();

        boolean isDone();

        /** Whether an earlier attempt may have run the request. */
        boolean mayHaveRun();
    }

    EngineAcquisition(ServingContext context, CallerRequest request, Route route, Handler handler) {
        this.context = context;
        this.request = request;
        this.route = route;
        this.handler = handler;
        this.enginePreference = new StreamEnginePreference(
                context.servedVersions(), context.outlierDetector(), context.endpointLoads());
        this.startNanos = context.scheduler().nanoTime();
    }

    /**
     * Restarts the limits after an attempt that may have run; the request stays admitted.
     *
     * @param progressNanos time at which the caller last received a chunk, or of the request's arrival
     */
    void resetAfterAttempt(long progressNanos) {
        loadRequests = 0;
        startNanos = progressNanos;
        admitted = true;
    }

    /**
     * Selects one of the usable engines that were not tried yet, and sends the request or has its adapter loaded.
     *
     * @param usable engines of the service
     * @param tried ids of endpoints that are not to be selected; the engine is added when its owner refuses the load
     */
    void tryNext(List<Endpoint> usable, Set<String> tried) {
        int version = context.requiredVersions().required(request.adapter());
        EngineSelector.Need need = new EngineSelector.Need(
                request.id(),
                request.adapter(),
                version,
                route.objectiveMs(),
                request.tokenCounts().prompt());
        EngineSelector.Selection selection = select(usable, need, tried);
        if (selection == null) {
            String cause = "engines=" + usable.size() + " tried=" + tried.size();
            if (loadRequests > 0) {
                refuse(ResultCode.LOAD_FAILED, slotsTakenMs(), cause);
            } else {
                handler.giveUp(ResultCode.NO_ENGINE, RequestFlow.DEFAULT_RETRY_AFTER_MS, cause);
            }
            return;
        }
        if (!admitted && !admit(selection)) {
            return;
        }
        if (selection.resident()) {
            sendToResident(selection, version, tried);
            return;
        }
        long waitMs = remainingLoadWaitMs();
        if (++loadRequests > MAX_LOAD_REQUESTS || waitMs < MIN_LOAD_WAIT_MS) {
            refuse(ResultCode.LOAD_FAILED, slotsTakenMs(), "asks=" + loadRequests + " wait_ms=" + waitMs);
            return;
        }
        context.adapterLoader()
                .load(
                        selection.engine(),
                        loadRequest(version, waitMs),
                        outcome -> onLoadOutcome(selection.engine(), version, outcome, tried));
    }

    private EngineSelector.Selection select(List<Endpoint> usable, EngineSelector.Need need, Set<String> tried) {
        List<Endpoint> preferred = enginePreference.preferred(usable, route);
        EngineSelector.Selection selection = context.engineSelector().select(preferred, need, tried);
        return selection == null && preferred.size() < usable.size()
                ? context.engineSelector().select(usable, need, tried)
                : selection;
    }

    /**
     * Sends the request at once if its adapter was used within {@link #CONFIRM_RESIDENCY_AFTER_MS} or is the base
     * model, or if the engine has no known owner. Otherwise first asks the owner to keep the adapter resident, because
     * the adapter may be evicted at any moment; an owner that does not reach the engine cannot evict it either.
     */
    private void sendToResident(EngineSelector.Selection selection, int version, Set<String> tried) {
        if (selection.copyTarget() != null) {
            context.adapterLoader().load(selection.copyTarget(), copyLoadRequest(version), outcome -> {});
        }
        Endpoint e = selection.engine();
        long usedNanos = context.adapterUsage().lastUsedNanos(e.id(), request.adapter());
        boolean recent = usedNanos != Long.MIN_VALUE
                && context.scheduler().nanoTime() - usedNanos < CONFIRM_RESIDENCY_AFTER_MS * 1_000_000;
        if (recent
                || request.adapter().adapter().isEmpty()
                || !context.adapterLoader().hasOwner(e)) {
            handler.send(e, version);
            return;
        }
        long waitMs = Math.max(MIN_LOAD_WAIT_MS, remainingLoadWaitMs());
        context.adapterLoader().load(e, loadRequest(version, waitMs), outcome -> {
            boolean ownerDecided =
                    outcome == AdapterLoader.Outcome.RESIDENT || outcome == AdapterLoader.Outcome.REFUSED;
            if (!ownerDecided && !handler.isDone()) {
                handler.send(e, version);
            } else {
                onLoadOutcome(e, version, outcome, tried);
            }
        });
    }

    /**
     * Asks the owner of an engine that refused the request for lack of its adapter again, once: the load that the owner
     * counted as completed has most likely not ended, and a load on another engine would take longer.
     *
     * @return false if there is no time left or no owner, so that another engine is to be selected
     */
    boolean repeatLoad(Endpoint e, Set<String> tried) {
        long waitMs = remainingLoadWaitMs();
        if (loadRepeated
                || waitMs < MIN_REPEATED_LOAD_WAIT_MS
                || !context.adapterLoader().hasOwner(e)) {
            return false;
        }
        loadRepeated = true;
        int version = context.requiredVersions().required(request.adapter());
        context.adapterLoader()
                .load(
                        e,
                        loadRequest(version, waitMs).withRefused(),
                        outcome -> onLoadOutcome(e, version, outcome, tried));
        return true;
    }

    private LoadRequest loadRequest(int version, long waitMs) {
        return handler.mayHaveRun()
                ? new LoadRequest(request.adapter(), version, LoadRequest.MAY_HAVE_RUN_RANK, waitMs, waitMs)
                : new LoadRequest(request.adapter(), version, route.priority(), remainingObjectiveMs(), waitMs);
    }

    private long remainingObjectiveMs() {
        return route.objectiveMs() - elapsedMs();
    }

    /** Load request for an additional copy of the adapter, less urgent than any load that a request waits for. */
    private LoadRequest copyLoadRequest(int version) {
        return new LoadRequest(request.adapter(), version, COPY_LOAD_RANK, 0, route.objectiveMs());
    }

    private long remainingLoadWaitMs() {
        double limit = handler.mayHaveRun()
                ? route.callerIdleTimeoutMs() * MAY_HAVE_RUN_WAIT_IDLE_TIMEOUT_FACTOR
                : route.objectiveMs() * LOAD_WAIT_OBJECTIVE_FACTOR;
        return Math.round(limit) - elapsedMs();
    }

    /** Selects an engine again after an interval, because no node owns the selected one; gives up beyond a limit. */
    private void awaitOwner() {
        if (elapsedMs() > route.objectiveMs() * NO_OWNER_WAIT_OBJECTIVE_FACTOR) {
            refuse(ResultCode.LOAD_FAILED, NO_OWNER_RETRY_AFTER_MS, "no reachable owner of the selected engine");
            return;
        }
        selectNextAfter(NO_OWNER_RETRY_INTERVAL_MS);
    }

    private boolean admit(EngineSelector.Selection selection) {
        long retryAfterMs = context.admission().retryAfterMs(route.priority(), route.objectiveMs(), selection.waitMs());
        if (retryAfterMs >= 0) {
            refuse(
                    ResultCode.OVERLOADED,
                    retryAfterMs,
                    "engine=" + selection.engine().id() + " wait_ms=" + Math.round(selection.waitMs()));
            return false;
        }
        admitted = true;
        return true;
    }

    private void onLoadOutcome(Endpoint engine, int version, AdapterLoader.Outcome outcome, Set<String> tried) {
        if (handler.isDone()) {
            return;
        }
        if (outcome == AdapterLoader.Outcome.RESIDENT) {
            handler.send(engine, version);
        } else if (outcome == AdapterLoader.Outcome.NO_OWNER) {
            loadRequests--;
            awaitOwner();
        } else if (handler.mayHaveRun()) {
            loadRequests--;
            selectNextAfter(MAY_HAVE_RUN_POLL_INTERVAL_MS);
        } else {
            if (outcome == AdapterLoader.Outcome.UNREACHABLE) {
                // Costs no more than a round trip, so that the request has time for as many engines as before.
                loadRequests--;
            }
            tried.add(engine.id());
            handler.selectNext();
        }
    }

    private void selectNextAfter(long ms) {
        context.scheduler().schedule(Duration.ofMillis(ms), () -> {
            if (!handler.isDone()) {
                handler.selectNext();
            }
        });
    }

    /** Gives up with a retry time that differs between requests, so that refused callers do not return together. */
    private void refuse(ResultCode code, long waitMs, String cause) {
        handler.giveUp(code, RetryAfter.spread(waitMs, request.id()), cause);
    }

    /** Time within which adapter slots that are all taken become free, ms: the measured duration of a run. */
    private long slotsTakenMs() {
        return Math.round(context.prefillEstimator().runMs());
    }

    /** Time since the acquisition began or was reset, ms. */
    private long elapsedMs() {
        return (context.scheduler().nanoTime() - startNanos) / 1_000_000;
    }
}
