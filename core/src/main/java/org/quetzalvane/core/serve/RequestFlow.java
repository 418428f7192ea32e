package org.quetzalvane.core.serve;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.quetzalvane.core.ResultCode;
import org.quetzalvane.core.event.EventCode;
import org.quetzalvane.core.fleet.Endpoint;
import org.quetzalvane.core.routes.RequiredVersions;
import org.quetzalvane.core.routes.Route;
import org.quetzalvane.core.routes.ServiceSpec;
import org.quetzalvane.core.routes.ServingConfig;
import org.quetzalvane.core.time.Scheduler;

/**
 * One request from its arrival to its one final answer.
 *
 * <p>Invariants: the caller gets one final answer; a request that may have run is sent again only where its route
 * allows that; it is said to be not run only when every send of it was refused by its endpoint or never left.
 * Confined to the event loop.
 */
public final class RequestFlow implements Attempt.Owner, EngineSearch.Owner {
    /** Sends of one request that endpoints refused without running it, beyond which it is refused to the caller. */
    private static final int MAX_REFUSED_SENDS = 3;
    /** Connections that could not be made, beyond which a request is refused. */
    private static final int MAX_FAILED_CONNECTS = 4;
    /** Retry time when nothing better is known, ms: an adapter's way from the store. */
    static final long USUAL_RETRY_AFTER_MS = 300;
    /** Time kept back for the way to the endpoint, ms: twice the published way between data centres, rounded up. */
    private static final long WAY_MS = 5;

    private final ServingContext state;
    private final CallerRequest request;
    private final CallerResponse answer;
    private final long arrivedNanos;

    private Route route;
    private ServiceSpec service;
    private long deadlineNanos;
    private Scheduler.Timer timer;
    private boolean done;
    private Attempt current;
    private String lastEndpoint;
    private StreamRelay relay;
    private final Set<String> tried = new HashSet<>();
    private int ranSends;
    private int refusedSends;
    private int failedConnects;
    private EngineSearch search;
    private Attempt.Shared shared;

    /** Builds the flow of a request that has just arrived. */
    public RequestFlow(ServingContext state, CallerRequest request, CallerResponse answer) {
        this.state = state;
        this.request = request;
        this.answer = answer;
        this.arrivedNanos = state.scheduler().nanoTime();
    }

    /** Decides what happens to the request; the answer may be given within this call. */
    public void start() {
        Optional<ServingConfig> config = state.config().current();
        if (config.isEmpty()) {
            refuse(ResultCode.NOT_READY, USUAL_RETRY_AFTER_MS, "no configuration");
            return;
        }
        route = config.get().match(request.host(), request.path()).orElse(null);
        if (route == null) {
            refuse(
                    ResultCode.UNKNOWN_PATH,
                    -1,
                    "no route in version " + config.get().version());
            return;
        }
        service = config.get().service(route.serviceFor(request.id()));
        if (service == null) {
            refuse(
                    ResultCode.UNKNOWN_SERVICE,
                    -1,
                    "no service in version " + config.get().version());
            return;
        }
        state.retries().recordRequest(service.name());
        long ms = request.deadlineMs() < 0 ? route.timeoutMs() : Math.min(route.timeoutMs(), request.deadlineMs());
        deadlineNanos = arrivedNanos + ms * 1_000_000;
        timer = state.scheduler().schedule(Duration.ofMillis(ms), this::deadlineReached);
        if (request.adapter() != null) {
            state.demand().recordRequest(request.adapter());
        }
        shared = new Attempt.Shared(state, request, route, answer, this);
        search = new EngineSearch(state, request, route, this);
        searchAgain();
    }

    /** The caller has left: its work is stopped. */
    public void callerDisconnected() {
        if (done) {
            return;
        }
        log(EventCode.REQUEST_CANCELLED, "after_ms", elapsedMs(), "sends", ranSends + refusedSends);
        finish();
    }

    /** The caller reads again after it had not kept up. */
    public void callerWritable() {
        if (current != null) {
            current.resumeReading();
        }
    }

    @Override
    public boolean isDone() {
        return done;
    }

    @Override
    public boolean inProgress() {
        return ranSends > 0;
    }

    @Override
    public void searchAgain() {
        List<Endpoint> usable = state.endpoints().usable(service.name());
        if (service.servesModels() && request.adapter() != null) {
            search.next(usable, tried);
            return;
        }
        Endpoint e = state.plain().select(usable, tried);
        if (e == null) {
            giveUp(ResultCode.NO_ENGINE, "endpoints=" + usable.size() + " tried=" + tried.size());
        } else {
            send(e, RequiredVersions.ANY_VERSION);
        }
    }

    @Override
    public void send(Endpoint e, int version) {
        long leftMs = (deadlineNanos - state.scheduler().nanoTime()) / 1_000_000;
        long budget = leftMs - WAY_MS;
        if (budget <= 0) {
            deadlineReached();
            return;
        }
        String from = relay == null ? request.lastEventId() : relay.lastId();
        int urgency = Math.min(9, 1 + 2 * route.priority());
        boolean fresh = !route.retryable();
        EndpointRequest d = new EndpointRequest(request, budget, urgency, version, from, fresh);
        Attempt a = new Attempt(shared, e, service.servesModels());
        current = a;
        a.send(d);
    }

    @Override
    public void refused(Attempt a, ResponseHead head) {
        Endpoint e = ended(a);
        if (head.wrongInstance() && request.adapter() != null) {
            state.residency().recordAbsent(e, request.adapter());
        }
        refusedSends++;
        boolean again = refusedSends < MAX_REFUSED_SENDS && takeRepeat();
        log(EventCode.REQUEST_RETRIED, "endpoint", e.id(), "status", head.status(), "not_run", true, "again", again);
        if (again) {
            searchAgain();
        } else {
            giveUp(ResultCode.ENDPOINT_REJECTED, "status=" + head.status());
        }
    }

    @Override
    public void unreachable(Attempt a, String cause) {
        Endpoint e = ended(a);
        Suspensions.note(state, e, state.outliers().recordUnreachable(e.id()), cause);
        if (++failedConnects < MAX_FAILED_CONNECTS) {
            searchAgain();
        } else {
            giveUp(ResultCode.ENDPOINT_UNREACHABLE, cause);
        }
    }

    @Override
    public void failed(Attempt a, ResultCode code, String cause, boolean repeatTaken) {
        boolean repeat = repeatTaken || mayRepeatAfterThis() && relayMayGoOn() && takeRepeat();
        Endpoint e = ended(a);
        Suspensions.note(state, e, state.outliers().recordFailure(e.id()), cause);
        ranSends++;
        search.restart(relay == null ? arrivedNanos : a.progressNanos());
        if (repeat) {
            log(
                    relay == null ? EventCode.REQUEST_RETRIED : EventCode.REQUEST_RESUMED,
                    "endpoint",
                    e.id(),
                    "cause",
                    cause);
            searchAgain();
        } else {
            fail(code, cause);
        }
    }

    @Override
    public void finished(Attempt a) {
        Endpoint e = ended(a);
        log(
                EventCode.REQUEST_DONE,
                "endpoint",
                e.id(),
                "status",
                a.status(),
                "sends",
                ranSends + 1,
                "held_ms",
                (a.sentNanos() - arrivedNanos) / 1_000_000,
                "first_ms",
                a.firstByteNanos() == 0 ? -1 : (a.firstByteNanos() - arrivedNanos) / 1_000_000,
                "gap_ms",
                a.longestGapMs());
        finish();
    }

    @Override
    public boolean mayRepeatAfterThis() {
        return route.retryable() && ranSends + 1 < route.maxAttempts();
    }

    @Override
    public boolean takeRepeat() {
        return state.retries().tryAcquire(service.name());
    }

    @Override
    public StreamRelay relay() {
        return relay;
    }

    @Override
    public void relay(StreamRelay begun) {
        relay = begun;
    }

    private Endpoint ended(Attempt a) {
        current = null;
        lastEndpoint = a.endpoint().id();
        tried.add(lastEndpoint);
        return a.endpoint();
    }

    private boolean relayMayGoOn() {
        return relay == null || relay.resumable();
    }

    /** Nothing more can be tried: says not run where that is certain, else that the outcome is unknown. */
    private void giveUp(ResultCode code, String why) {
        giveUp(code, USUAL_RETRY_AFTER_MS, why);
    }

    @Override
    public void giveUp(ResultCode code, long retryAfterMs, String why) {
        if (ranSends > 0) {
            fail(ResultCode.OUTCOME_UNKNOWN, why);
        } else {
            refuse(code, retryAfterMs, why);
        }
    }

    private void refuse(ResultCode code, long retryAfterMs, String why) {
        log(EventCode.REQUEST_REFUSED, "code", code.number(), "retry_after_ms", retryAfterMs, "why", why);
        answer.refuse(code, retryAfterMs);
        finish();
    }

    private void fail(ResultCode code, String why) {
        String endpoint = current == null ? lastEndpoint : current.endpoint().id();
        log(
                EventCode.REQUEST_FAILED,
                "code",
                code.number(),
                "endpoint",
                endpoint,
                "sends",
                ranSends,
                "begun",
                relay != null,
                "why",
                why);
        if (relay != null) {
            answer.abort();
        } else {
            answer.refuse(code, -1);
        }
        finish();
    }

    private void deadlineReached() {
        if (done) {
            return;
        }
        boolean mayHaveRun = ranSends > 0 || current != null;
        if (mayHaveRun) {
            fail(ResultCode.PROGRESS_TIMEOUT, "deadline");
        } else {
            refuse(ResultCode.DEADLINE_UNREACHABLE, USUAL_RETRY_AFTER_MS, "deadline");
        }
    }

    private void finish() {
        done = true;
        if (timer != null) {
            timer.cancel();
        }
        if (current != null) {
            current.cancel();
        }
    }

    private long elapsedMs() {
        return (state.scheduler().nanoTime() - arrivedNanos) / 1_000_000;
    }

    private void log(EventCode code, Object... fields) {
        List<Object> all = new ArrayList<>(Arrays.asList(fields));
        all.addAll(List.of("route", route == null ? request.path() : route.name(), "ms", elapsedMs()));
        if (request.adapter() != null) {
            TokenCounts t = request.tokens();
            all.addAll(List.of("adapter", request.adapter(), "prompt", t.prompt(), "output", t.expectedOutput()));
        }
        state.log().log(code, request.id(), all.toArray());
    }
}
