package org.quetzalvane.core.serve;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.quetzalvane.core.ResultCode;
import org.quetzalvane.core.choice.EngineChoice;
import org.quetzalvane.core.event.EventCode;
import org.quetzalvane.core.fleet.Endpoint;
import org.quetzalvane.core.residency.LoadBroker;
import org.quetzalvane.core.routes.NamedVersions;
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
public final class RequestFlow {
    /** Sends of one request that endpoints refused without running it, beyond which it is refused to the caller. */
    private static final int MAX_REFUSED_SENDS = 3;
    /** Connections that could not be made, beyond which a request is refused. */
    private static final int MAX_FAILED_CONNECTS = 4;
    /** Engines asked to load an adapter, beyond which a request is refused. */
    private static final int MAX_LOAD_ASKS = 3;
    /** Longest time in which a request waits for loads, as a part of the objective; callers leave after four. */
    private static final double LOAD_WAIT_PART = 1.6;
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
    /** Retry time when nothing better is known, ms: an adapter's way from the store. */
    private static final long USUAL_RETRY_AFTER_MS = 300;
    /** Longest wait for a first part as a part of the objective, beyond twice the wait that was expected. */
    private static final double FIRST_BYTE_PART = 1.6;
    /** Longest pause within an answer, ms: callers of streams leave after two seconds of it. */
    private static final long STALL_MS = 1_200;
    /** Time kept back for the way to the endpoint, ms: twice the published way between data centres, rounded up. */
    private static final long WAY_MS = 5;

    private final ServeState state;
    private final CallerRequest request;
    private final CallerAnswer answer;
    private final long arrivedNanos;
    private long seekingSinceNanos;

    private Route route;
    private ServiceSpec service;
    private long deadlineNanos;
    private Scheduler.Timer timer;
    private boolean done;
    private Attempt current;
    private StreamRelay relay;
    private final Set<String> tried = new HashSet<>();
    private int ranSends;
    private int refusedSends;
    private int failedConnects;
    private int loadAsks;
    private boolean admitted;

    public RequestFlow(ServeState state, CallerRequest request, CallerAnswer answer) {
        this.state = state;
        this.request = request;
        this.answer = answer;
        this.arrivedNanos = state.scheduler().nanoTime();
        this.seekingSinceNanos = arrivedNanos;
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
        state.retries().counted(service.name());
        long ms = request.deadlineMs() < 0 ? route.timeoutMs() : Math.min(route.timeoutMs(), request.deadlineMs());
        deadlineNanos = arrivedNanos + ms * 1_000_000;
        timer = state.scheduler().schedule(Duration.ofMillis(ms), this::giveUp);
        if (request.adapter() != null) {
            state.demand().asked(request.adapter());
        }
        next();
    }

    /** The caller has left: its work is stopped. */
    public void callerGone() {
        if (done) {
            return;
        }
        log(EventCode.REQUEST_CANCELLED, "after_ms", elapsedMs(), "sends", ranSends + refusedSends);
        finish();
    }

    /** The caller reads again after it had not kept up. */
    public void callerReads() {
        if (current != null && current.call != null) {
            current.call.reading(true);
        }
    }

    public boolean isDone() {
        return done;
    }

    private void next() {
        List<Endpoint> usable = state.endpoints().usable(service.name());
        if (service.servesModels() && request.adapter() != null) {
            nextEngine(usable);
            return;
        }
        Endpoint e = state.plain().pick(usable, tried);
        if (e == null) {
            refuseOrFail(ResultCode.NO_ENGINE, "endpoints=" + usable.size() + " tried=" + tried.size());
        } else {
            send(e, NamedVersions.ANY);
        }
    }

    private void nextEngine(List<Endpoint> usable) {
        int version = state.versions().required(request.adapter());
        EngineChoice.Pick pick = state.engines().pick(usable, request.adapter(), version, tried);
        if (pick == null) {
            String why = "engines=" + usable.size() + " tried=" + tried.size();
            if (loadAsks > 0) {
                refuseOrFail(ResultCode.LOAD_FAILED, PLACES_RETRY_MS, why);
            } else {
                refuseOrFail(ResultCode.NO_ENGINE, why);
            }
            return;
        }
        if (!admitted && !admit(pick)) {
            return;
        }
        if (pick.resident()) {
            sendToHolder(pick, version);
            return;
        }
        long wait = loadWaitMs();
        if (++loadAsks > MAX_LOAD_ASKS || wait < LEAST_LOAD_WAIT_MS) {
            refuseOrFail(ResultCode.LOAD_FAILED, PLACES_RETRY_MS, "asks=" + loadAsks + " wait_ms=" + wait);
            return;
        }
        state.broker().load(pick.engine(), request.adapter(), version, wait, o -> loadAnswered(pick, version, o));
    }

    /** Sends to an engine that holds the adapter; one unused for a while is confirmed first, lest it is evicted now. */
    private void sendToHolder(EngineChoice.Pick pick, int version) {
        if (pick.copyAt() != null) {
            state.broker().load(pick.copyAt(), request.adapter(), version, route.objectiveMs(), o -> {});
        }
        Endpoint e = pick.engine();
        long usedNanos = state.use().lastUsedNanos(e.id(), request.adapter());
        boolean recent =
                usedNanos != Long.MIN_VALUE && state.scheduler().nanoTime() - usedNanos < CONFIRM_AGE_MS * 1_000_000;
        if (recent || request.adapter().adapter().isEmpty() || !state.broker().hasHolder(e)) {
            send(e, version);
            return;
        }
        long wait = Math.max(LEAST_LOAD_WAIT_MS, loadWaitMs());
        state.broker().load(e, request.adapter(), version, wait, o -> {
            if (o == LoadBroker.Outcome.NO_HOLDER && !done) {
                send(e, version);
            } else {
                loadAnswered(pick, version, o);
            }
        });
    }

    private long loadWaitMs() {
        return Math.round(route.objectiveMs() * LOAD_WAIT_PART) - seekingMs();
    }

    /** Every engine that might load the adapter lacks a node that gives it orders: waits a little for one. */
    private void awaitHolder() {
        if (seekingMs() > route.objectiveMs() * NO_HOLDER_PART) {
            refuseOrFail(ResultCode.LOAD_FAILED, NO_HOLDER_RETRY_MS, "no holder");
            return;
        }
        state.scheduler().schedule(Duration.ofMillis(NO_HOLDER_PAUSE_MS), () -> {
            if (!done) {
                next();
            }
        });
    }

    private boolean admit(EngineChoice.Pick pick) {
        long retryAfter = state.admission().retryAfterMs(route.priority(), route.objectiveMs(), pick.waitMs());
        if (retryAfter >= 0) {
            refuse(
                    ResultCode.OVERLOADED,
                    retryAfter,
                    "engine=" + pick.engine().id() + " wait_ms=" + Math.round(pick.waitMs()));
            return false;
        }
        admitted = true;
        return true;
    }

    private void loadAnswered(EngineChoice.Pick pick, int version, LoadBroker.Outcome outcome) {
        if (done) {
            return;
        }
        if (outcome == LoadBroker.Outcome.HELD) {
            send(pick.engine(), version);
        } else if (outcome == LoadBroker.Outcome.NO_HOLDER) {
            loadAsks--;
            awaitHolder();
        } else {
            tried.add(pick.engine().id());
            next();
        }
    }

    private void send(Endpoint e, int version) {
        long leftMs = (deadlineNanos - state.scheduler().nanoTime()) / 1_000_000;
        long budget = leftMs - WAY_MS;
        if (budget <= 0) {
            giveUp();
            return;
        }
        String from = relay == null ? request.lastEventId() : relay.lastId();
        int urgency = Math.min(9, 1 + 2 * route.priority());
        boolean fresh = !route.repeatable();
        Dispatch d = new Dispatch(request, budget, urgency, version, from, fresh);
        current = new Attempt(e);
        current.call = state.calls().send(e, d, current);
    }

    private void attemptRefused(Endpoint e, ReplyHead head) {
        if (head.otherInstance() && request.adapter() != null) {
            state.residency().missing(e, request.adapter());
        }
        tried.add(e.id());
        refusedSends++;
        boolean again = refusedSends < MAX_REFUSED_SENDS && state.retries().tryTake(service.name());
        log(EventCode.REQUEST_RETRIED, "endpoint", e.id(), "status", head.status(), "not_run", true, "again", again);
        if (again) {
            next();
        } else {
            refuseOrFail(ResultCode.ENDPOINT_REJECTED, "status=" + head.status());
        }
    }

    private void attemptUnreachable(Endpoint e, String cause) {
        suspend(e, state.outliers().unreachable(e.id()), cause);
        tried.add(e.id());
        if (++failedConnects < MAX_FAILED_CONNECTS) {
            next();
        } else {
            refuseOrFail(ResultCode.ENDPOINT_UNREACHABLE, cause);
        }
    }

    /** A send that may have run failed before its answer was whole. */
    private void attemptFailed(Endpoint e, ResultCode code, String cause) {
        suspend(e, state.outliers().failed(e.id()), cause);
        ranSends++;
        loadAsks = 0;
        seekingSinceNanos = state.scheduler().nanoTime();
        tried.add(e.id());
        if (mayRepeat()) {
            boolean resumed = relay != null && relay.begun();
            log(resumed ? EventCode.REQUEST_RESUMED : EventCode.REQUEST_RETRIED, "endpoint", e.id(), "cause", cause);
            next();
        } else {
            fail(code, cause);
        }
    }

    private boolean mayRepeat() {
        return route.repeatable()
                && ranSends < route.maxAttempts()
                && state.retries().tryTake(service.name());
    }

    private void suspend(Endpoint e, boolean suspended, String cause) {
        if (suspended) {
            state.log().decided(EventCode.ENDPOINT_SUSPENDED, e.id(), "cause", cause);
        }
    }

    /** Nothing more can be tried: says not run where that is certain, else that the outcome is unknown. */
    private void refuseOrFail(ResultCode code, String why) {
        refuseOrFail(code, USUAL_RETRY_AFTER_MS, why);
    }

    private void refuseOrFail(ResultCode code, long retryAfterMs, String why) {
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
        log(EventCode.REQUEST_FAILED, "code", code.number(), "sends", ranSends, "why", why);
        if (relay != null && relay.begun()) {
            answer.abort();
        } else {
            answer.refuse(code, -1);
        }
        finish();
    }

    private void giveUp() {
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

    /** Time since the request began to look for an endpoint, anew after a send that may have run, ms. */
    private long seekingMs() {
        return (state.scheduler().nanoTime() - seekingSinceNanos) / 1_000_000;
    }

    private long elapsedMs() {
        return (state.scheduler().nanoTime() - arrivedNanos) / 1_000_000;
    }

    private void log(EventCode code, Object... fields) {
        Object[] all = new Object[fields.length + 4];
        System.arraycopy(fields, 0, all, 0, fields.length);
        all[fields.length] = "route";
        all[fields.length + 1] = route == null ? request.path() : route.name();
        all[fields.length + 2] = "ms";
        all[fields.length + 3] = elapsedMs();
        state.log().decided(code, request.id(), all);
    }

    /** One send of the request and what came back of it. */
    private final class Attempt implements EndpointCalls.Listener {
        private final Endpoint endpoint;
        private final long sentNanos = state.scheduler().nanoTime();
        private final long pendingTokens;
        private EndpointCalls.Call call;
        private boolean open = true;
        private boolean prefilled;
        private long progressNanos = sentNanos;
        private long firstByteAtMs;
        private long longestGapMs;
        private Scheduler.Timer silence;
        private ReplyHead head;
        private BodyBuffer buffer;

        Attempt(Endpoint endpoint) {
            this.endpoint = endpoint;
            state.loads().started(endpoint.id(), request.promptTokens());
            pendingTokens = state.loads().total(endpoint.id()).pendingTokens();
            if (request.adapter() != null) {
                state.use().started(endpoint.id(), request.adapter());
            }
            if (route.repeatable()) {
                silence = state.scheduler().schedule(Duration.ofMillis(firstByteMs()), this::checkProgress);
            }
        }

        /** Longest wait for the first part of an answer that can be had elsewhere, ms. */
        private long firstByteMs() {
            double expected = service.servesModels() ? state.prefill().waitMs(pendingTokens) : 0;
            return Math.round(FIRST_BYTE_PART * route.objectiveMs() + 2 * expected);
        }

        /** An answer that makes no progress is broken off and, where that is allowed, had elsewhere. */
        private void checkProgress() {
            if (!open) {
                return;
            }
            long limitMs = prefilled ? STALL_MS : firstByteMs();
            long leftMs = limitMs - (state.scheduler().nanoTime() - progressNanos) / 1_000_000;
            if (leftMs > 0) {
                silence = state.scheduler().schedule(Duration.ofMillis(leftMs), this::checkProgress);
            } else if (state.endpoints().usable(service.name()).size() > 1 && mayRepeatLater()) {
                suspend(endpoint, state.outliers().unreachable(endpoint.id()), "silent");
                failed(false, "silent for " + limitMs + " ms");
            }
        }

        @Override
        public void head(ReplyHead h) {
            if (!open) {
                return;
            }
            head = h;
            if (h.notRun()) {
                close(true);
                attemptRefused(endpoint, h);
            } else if (h.success() && !h.genuine()) {
                close(true);
                attemptFailed(endpoint, ResultCode.WRONG_ECHO, "answer is not the endpoint's");
            } else if (h.serverError() && !begun() && repeatsAfterError()) {
                close(true);
                attemptFailed(endpoint, ResultCode.ENDPOINT_FAILED, "status=" + h.status());
            } else if (h.success() && h.events()) {
                beginStream(h);
            } else if (begun()) {
                close(true);
                attemptFailed(endpoint, ResultCode.STREAM_BROKEN, "resume status=" + h.status());
            } else {
                buffer = new BodyBuffer();
            }
        }

        @Override
        public void body(byte[] part) {
            if (!open) {
                return;
            }
            firstByte();
            longestGapMs = Math.max(longestGapMs, (state.scheduler().nanoTime() - progressNanos) / 1_000_000);
            progressNanos = state.scheduler().nanoTime();
            if (buffer == null) {
                relayPart(part);
                return;
            }
            byte[] flush = buffer.add(part);
            if (flush == null) {
                return;
            }
            if (!buffer.flushed()) {
                buffer.markFlushed();
                relay = StreamRelay.opaque();
                relay.begin(answer, head);
            }
            if (!answer.part(flush)) {
                call.reading(false);
            }
        }

        @Override
        public void end() {
            if (!open) {
                return;
            }
            if (buffer == null && relay.midEvent()) {
                failed(false, "stream ended within an event");
                return;
            }
            close(false);
            if (head.serverError()) {
                state.outliers().failed(endpoint.id());
            } else {
                state.outliers().succeeded(endpoint.id());
            }
            if (buffer != null && !buffer.flushed()) {
                answer.whole(head, buffer.content());
            } else {
                answer.end();
            }
            log(
                    EventCode.REQUEST_DONE,
                    "endpoint",
                    endpoint.id(),
                    "status",
                    head.status(),
                    "sends",
                    ranSends + 1,
                    "held_ms",
                    (sentNanos - arrivedNanos) / 1_000_000,
                    "first_ms",
                    firstByteAtMs,
                    "gap_ms",
                    longestGapMs);
            finish();
        }

        @Override
        public void failed(boolean notSent, String cause) {
            if (!open) {
                return;
            }
            close(true);
            if (notSent) {
                attemptUnreachable(endpoint, cause);
                return;
            }
            if (relay != null) {
                relay.dropPart();
            }
            boolean opaque = buffer != null && buffer.flushed();
            if (opaque) {
                ranSends++;
                fail(ResultCode.STREAM_BROKEN, cause);
            } else {
                attemptFailed(endpoint, begun() ? ResultCode.STREAM_BROKEN : ResultCode.OUTCOME_UNKNOWN, cause);
            }
        }

        void cancel() {
            if (open) {
                close(true);
            }
        }

        private void beginStream(ReplyHead h) {
            if (relay == null) {
                relay = route.repeatable() ? StreamRelay.ofEvents(request.lastEventId()) : StreamRelay.opaque();
            }
            if (!relay.begun()) {
                relay.begin(answer, h);
            }
        }

        private void relayPart(byte[] part) {
            byte[] whole = relay.take(part);
            if (whole.length > 0 && !answer.part(whole)) {
                call.reading(false);
            }
        }

        private void firstByte() {
            if (prefilled) {
                return;
            }
            prefilled = true;
            progressNanos = state.scheduler().nanoTime();
            firstByteAtMs = elapsedMs();
            state.loads().prefilled(endpoint.id(), request.promptTokens());
            state.prefill().measured(pendingTokens, (state.scheduler().nanoTime() - sentNanos) / 1e6);
        }

        private boolean begun() {
            return relay != null && relay.begun();
        }

        private boolean repeatsAfterError() {
            return mayRepeatLater() && state.endpoints().usable(service.name()).size() > 1;
        }

        private boolean mayRepeatLater() {
            return route.repeatable() && ranSends + 1 < route.maxAttempts();
        }

        private void close(boolean cancelCall) {
            open = false;
            current = null;
            if (silence != null) {
                silence.cancel();
            }
            state.loads().ended(endpoint.id(), prefilled ? 0 : request.promptTokens());
            if (request.adapter() != null) {
                state.use().ended(endpoint.id(), request.adapter());
            }
            if (cancelCall && call != null) {
                call.cancel();
            }
        }
    }
}
