package org.quetzalvane.core.serve;

import java.time.Duration;
import java.util.List;
import java.util.Set;

import org.quetzalvane.core.ResultCode;
import org.quetzalvane.core.choice.EngineSelector;
import org.quetzalvane.core.fleet.Endpoint;
import org.quetzalvane.core.residency.AdapterLoader;
import org.quetzalvane.core.residency.LoadRequest;
import org.quetzalvane.core.routes.Route;

/**
 * Finds the engine for a request: admission first, then an engine that holds the adapter or is to load it.
 *
 * <p>Answers the pattern of rare adapters asked for at once: a request waits for a place a bounded time, and is
 * refused at once where too many wait. Confined to the event loop.
 */
final class EngineSearch {
    /** Engines asked to load an adapter, beyond which a request is refused. */
    private static final int MAX_LOAD_ASKS = 3;
    /** Longest time in which a request waits for loads, as a part of the objective; callers leave after four. */
    private static final double LOAD_WAIT_PART = 1.6;
    /** The same for a request that was sent and may have run, as a part of its caller's patience; the rest is for the
     * first event. */
    private static final double IN_PROGRESS_PART = 0.85;
    /** Pause before an engine without a place is asked again for such a request, ms. */
    private static final long IN_PROGRESS_PAUSE_MS = 100;
    /** Least time for a load to be worth asking for, ms: an adapter's way from the store. */
    private static final long LEAST_LOAD_WAIT_MS = 265;
    /** Retry time when the engines' places are taken, ms: the runs of 2 to 3 s that hold them are over by then. */
    private static final long PLACES_RETRY_MS = 3_000;
    /** Time since an adapter's last known use after which its holder is asked before a request is sent, ms. */
    private static final long CONFIRM_AGE_MS = 100;
    /** Pause before engines are asked again when no node gives orders to any, ms. */
    private static final long NO_HOLDER_PAUSE_MS = 250;
    /** Longest time for that, as a part of the objective. */
    private static final double NO_HOLDER_PART = 1.5;
    /** Retry time while no node gives orders to the engines, ms: dealing a duty anew takes two to three seconds. */
    private static final long NO_HOLDER_RETRY_MS = 1_500;

    /** Rank of a further copy of an adapter, below that of every route. */
    private static final int COPY_RANK = Integer.MAX_VALUE;

    private final ServingContext state;
    private final CallerRequest request;
    private final Route route;
    private final Owner owner;
    private long sinceNanos;
    private int loadAsks;
    private boolean admitted;

    /** The request that looks for an engine. */
    interface Owner {
        void send(Endpoint engine, int version);

        /** Nothing more can be tried. */
        void giveUp(ResultCode code, long retryAfterMs, String why);

        /** Starts the search again. */
        void searchAgain();

        boolean isDone();

        /** Whether the request was sent before and may have run. */
        boolean inProgress();
    }

    EngineSearch(ServingContext state, CallerRequest request, Route route, Owner owner) {
        this.state = state;
        this.request = request;
        this.route = route;
        this.owner = owner;
        this.sinceNanos = state.scheduler().nanoTime();
    }

    /**
     * Begins anew after a send that may have run.
     *
     * @param progressNanos when the caller last got a part of the answer, or asked
     */
    void restart(long progressNanos) {
        loadAsks = 0;
        sinceNanos = progressNanos;
    }

    /** Takes the next step among the usable engines that were not tried yet. */
    void next(List<Endpoint> usable, Set<String> tried) {
        int version = state.versions().required(request.adapter());
        EngineSelector.Selection pick = state.engines().select(usable, request.adapter(), version, tried);
        if (pick == null) {
            String why = "engines=" + usable.size() + " tried=" + tried.size();
            if (loadAsks > 0) {
                owner.giveUp(ResultCode.LOAD_FAILED, PLACES_RETRY_MS, why);
            } else {
                owner.giveUp(ResultCode.NO_ENGINE, RequestFlow.USUAL_RETRY_AFTER_MS, why);
            }
            return;
        }
        if (!admitted && !admit(pick)) {
            return;
        }
        if (pick.resident()) {
            sendToHolder(pick, version, tried);
            return;
        }
        long wait = loadWaitMs();
        if (++loadAsks > MAX_LOAD_ASKS || wait < LEAST_LOAD_WAIT_MS) {
            owner.giveUp(ResultCode.LOAD_FAILED, PLACES_RETRY_MS, "asks=" + loadAsks + " wait_ms=" + wait);
            return;
        }
        state.broker().load(pick.engine(), wish(version, wait), o -> loadAnswered(pick, version, o, tried));
    }

    /** Sends to an engine that holds the adapter; one unused for a while is confirmed first, lest it is evicted now. */
    private void sendToHolder(EngineSelector.Selection pick, int version, Set<String> tried) {
        if (pick.copyTarget() != null) {
            state.broker().load(pick.copyTarget(), copyWish(version), o -> {});
        }
        Endpoint e = pick.engine();
        long usedNanos = state.use().lastUsedNanos(e.id(), request.adapter());
        boolean recent =
                usedNanos != Long.MIN_VALUE && state.scheduler().nanoTime() - usedNanos < CONFIRM_AGE_MS * 1_000_000;
        if (recent || request.adapter().adapter().isEmpty() || !state.broker().hasOwner(e)) {
            owner.send(e, version);
            return;
        }
        long wait = Math.max(LEAST_LOAD_WAIT_MS, loadWaitMs());
        state.broker().load(e, wish(version, wait), o -> {
            if (o == AdapterLoader.Outcome.NO_OWNER && !owner.isDone()) {
                owner.send(e, version);
            } else {
                loadAnswered(pick, version, o, tried);
            }
        });
    }

    private LoadRequest wish(int version, long waitMs) {
        return owner.inProgress()
                ? new LoadRequest(request.adapter(), version, LoadRequest.IN_PROGRESS_RANK, waitMs, waitMs)
                : new LoadRequest(request.adapter(), version, route.priority(), onTimeMs(), waitMs);
    }

    private long onTimeMs() {
        return route.objectiveMs() - seekingMs();
    }

    /** One more copy comes after all adapters that requests wait for. */
    private LoadRequest copyWish(int version) {
        return new LoadRequest(request.adapter(), version, COPY_RANK, 0, route.objectiveMs());
    }

    private long loadWaitMs() {
        double limit = owner.inProgress()
                ? route.callerIdleTimeoutMs() * IN_PROGRESS_PART
                : route.objectiveMs() * LOAD_WAIT_PART;
        return Math.round(limit) - seekingMs();
    }

    /** Every engine that might load the adapter lacks a node that gives it orders: waits a little for one. */
    private void awaitHolder() {
        if (seekingMs() > route.objectiveMs() * NO_HOLDER_PART) {
            owner.giveUp(ResultCode.LOAD_FAILED, NO_HOLDER_RETRY_MS, "no holder");
            return;
        }
        searchAfter(NO_HOLDER_PAUSE_MS);
    }

    private boolean admit(EngineSelector.Selection pick) {
        long retryAfter = state.admission().retryAfterMs(route.priority(), route.objectiveMs(), pick.waitMs());
        if (retryAfter >= 0) {
            owner.giveUp(
                    ResultCode.OVERLOADED,
                    retryAfter,
                    "engine=" + pick.engine().id() + " wait_ms=" + Math.round(pick.waitMs()));
            return false;
        }
        admitted = true;
        return true;
    }

    private void loadAnswered(
            EngineSelector.Selection pick, int version, AdapterLoader.Outcome outcome, Set<String> tried) {
        if (owner.isDone()) {
            return;
        }
        if (outcome == AdapterLoader.Outcome.RESIDENT) {
            owner.send(pick.engine(), version);
        } else if (outcome == AdapterLoader.Outcome.NO_OWNER) {
            loadAsks--;
            awaitHolder();
        } else if (owner.inProgress()) {
            loadAsks--;
            searchAfter(IN_PROGRESS_PAUSE_MS);
        } else {
            tried.add(pick.engine().id());
            owner.searchAgain();
        }
    }

    private void searchAfter(long ms) {
        state.scheduler().schedule(Duration.ofMillis(ms), () -> {
            if (!owner.isDone()) {
                owner.searchAgain();
            }
        });
    }

    /** Time since the search began, ms. */
    private long seekingMs() {
        return (state.scheduler().nanoTime() - sinceNanos) / 1_000_000;
    }
}
