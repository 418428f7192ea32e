package org.quetzalvane.core.serve;

import java.time.Duration;

import org.quetzalvane.core.ResultCode;
import org.quetzalvane.core.fleet.Endpoint;
import org.quetzalvane.core.routes.Route;
import org.quetzalvane.core.time.Scheduler;

/**
 * One send of a request and what comes back of it, up to the first outcome that its {@link Owner} decides on.
 *
 * <p>After an outcome it hears nothing more and its work is no longer counted. Confined to the event loop.
 */
final class Attempt implements EndpointClient.Listener {
    /** Longest wait for a first part as a part of the objective, beyond twice the wait that was expected. */
    private static final double FIRST_BYTE_PART = 1.6;
    /** Longest pause within an answer, ms: callers of streams leave after two seconds of it. */
    private static final long STALL_MS = 1_200;

    /** The request that the send belongs to. */
    interface Owner {
        /** The endpoint states that it did not run the request. */
        void refused(Attempt a, ResponseHead head);

        /** No byte of the request can have reached the endpoint. */
        void unreachable(Attempt a, String cause);

        /**
         * The request may have run and its answer is not whole; {@code repeatTaken} when a repeat was granted
         * already.
         */
        void failed(Attempt a, ResultCode code, String cause, boolean repeatTaken);

        /** The answer was passed on whole. */
        void finished(Attempt a);

        /** Whether the route allows one more send after this one. */
        boolean mayRepeatAfterThis();

        /** Takes the permission for a repeat from the budget. */
        boolean takeRepeat();

        /** The caller's side of an answer in parts, shared by all sends; null before the first part. */
        StreamRelay relay();

        void relay(StreamRelay begun);
    }

    private final ServingContext state;
    private final CallerRequest request;
    private final Route route;
    private final CallerResponse answer;
    private final Owner owner;
    private final Endpoint endpoint;
    private final boolean engine;
    private final long sentNanos;
    private final long pendingTokens;
    private EndpointClient.Call call;
    private boolean open = true;
    private boolean prefilled;
    private long progressNanos;
    private long firstByteNanos;
    private long longestGapMs;
    private Scheduler.Timer silence;
    private ResponseHead head;
    private BodyBuffer buffer;

    /** What all sends of one request share. */
    record Shared(ServingContext state, CallerRequest request, Route route, CallerResponse answer, Owner owner) {}

    /** Counts the send; {@link #send} starts it. */
    Attempt(Shared shared, Endpoint endpoint, boolean engine) {
        this.state = shared.state();
        this.request = shared.request();
        this.route = shared.route();
        this.answer = shared.answer();
        this.owner = shared.owner();
        this.endpoint = endpoint;
        this.engine = engine;
        this.sentNanos = state.scheduler().nanoTime();
        this.progressNanos = sentNanos;
        state.loads().requestStarted(endpoint.id(), request.tokens().prompt());
        pendingTokens = state.loads().total(endpoint.id()).pendingTokens();
        if (request.adapter() != null) {
            state.use().requestStarted(endpoint.id(), request.adapter());
        }
    }

    void send(EndpointRequest d) {
        if (route.retryable()) {
            silence = state.scheduler().schedule(Duration.ofMillis(firstByteMs()), this::checkProgress);
        }
        call = state.calls().send(endpoint, d, this);
    }

    Endpoint endpoint() {
        return endpoint;
    }

    int status() {
        return head.status();
    }

    long sentNanos() {
        return sentNanos;
    }

    long firstByteNanos() {
        return firstByteNanos;
    }

    /** When the last part arrived, or the request was sent. */
    long progressNanos() {
        return progressNanos;
    }

    long longestGapMs() {
        return longestGapMs;
    }

    /** The caller reads again. */
    void resumeReading() {
        if (call != null) {
            call.setReading(true);
        }
    }

    /** Longest wait for the first part of an answer that can be had elsewhere, ms. */
    private long firstByteMs() {
        double expected = engine ? state.prefill().waitMs(pendingTokens) : 0;
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
        } else if (hasAlternative()) {
            Suspensions.note(state, endpoint, state.outliers().recordUnreachable(endpoint.id()), "silent");
            failed(false, "silent for " + limitMs + " ms");
        }
    }

    @Override
    public void head(ResponseHead h) {
        if (!open) {
            return;
        }
        head = h;
        if (h.notRun()) {
            close(true);
            owner.refused(this, h);
        } else if (h.success() && !h.authentic()) {
            close(true);
            owner.failed(this, ResultCode.WRONG_ECHO, "answer is not the endpoint's", false);
        } else if (h.serverError() && !begun() && hasAlternative() && owner.takeRepeat()) {
            close(true);
            owner.failed(this, ResultCode.ENDPOINT_FAILED, "status=" + h.status(), true);
        } else if (h.success() && h.eventStream()) {
            beginStream(h);
        } else if (begun()) {
            close(true);
            owner.failed(this, ResultCode.STREAM_BROKEN, "resume status=" + h.status(), false);
        } else {
            buffer = new BodyBuffer();
        }
    }

    @Override
    public void body(byte[] part) {
        if (!open) {
            return;
        }
        boolean first = !prefilled;
        firstByte();
        long now = state.scheduler().nanoTime();
        long gapMs = (now - progressNanos) / 1_000_000;
        longestGapMs = Math.max(longestGapMs, gapMs);
        progressNanos = now;
        if (engine && !first) {
            Suspensions.note(
                    state, endpoint, state.outliers().recordGap(endpoint.id(), gapMs), "slow, pause_ms=" + gapMs);
        }
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
            beginRelay(StreamRelay.opaque());
        }
        if (!answer.write(flush)) {
            call.setReading(false);
        }
    }

    @Override
    public void end() {
        if (!open) {
            return;
        }
        if (buffer == null && owner.relay().midEvent()) {
            failed(false, "stream ended within an event");
            return;
        }
        close(false);
        if (head.serverError()) {
            state.outliers().recordFailure(endpoint.id());
        } else {
            state.outliers().recordSuccess(endpoint.id());
        }
        if (buffer != null && !buffer.flushed()) {
            answer.send(head, buffer.content());
        } else {
            answer.end();
        }
        owner.finished(this);
    }

    @Override
    public void failed(boolean notSent, String cause) {
        if (!open) {
            return;
        }
        close(true);
        if (notSent) {
            owner.unreachable(this, cause);
            return;
        }
        if (owner.relay() != null) {
            owner.relay().dropPart();
        }
        owner.failed(this, begun() ? ResultCode.STREAM_BROKEN : ResultCode.OUTCOME_UNKNOWN, cause, false);
    }

    void cancel() {
        if (open) {
            close(true);
        }
    }

    private void beginStream(ResponseHead h) {
        if (owner.relay() == null) {
            boolean resumable = route.retryable();
            beginRelay(resumable ? StreamRelay.ofEvents(request.lastEventId()) : StreamRelay.opaque());
        }
    }

    private void beginRelay(StreamRelay relay) {
        owner.relay(relay);
        relay.begin(answer, head);
    }

    private void relayPart(byte[] part) {
        byte[] whole = owner.relay().take(part);
        if (whole.length > 0 && !answer.write(whole)) {
            call.setReading(false);
        }
    }

    private void firstByte() {
        if (prefilled) {
            return;
        }
        prefilled = true;
        progressNanos = state.scheduler().nanoTime();
        firstByteNanos = progressNanos;
        state.loads().prefillDone(endpoint.id(), request.tokens().prompt());
        state.prefill().recordWait(pendingTokens, (state.scheduler().nanoTime() - sentNanos) / 1e6);
    }

    private boolean begun() {
        return owner.relay() != null;
    }

    /** Whether the request may be sent again after this send, and there is an endpoint for it. */
    private boolean hasAlternative() {
        return owner.mayRepeatAfterThis()
                && state.endpoints().usable(endpoint.service()).size() > 1;
    }

    private void close(boolean cancelCall) {
        open = false;
        if (silence != null) {
            silence.cancel();
        }
        state.loads()
                .requestEnded(endpoint.id(), prefilled ? 0 : request.tokens().prompt());
        if (request.adapter() != null) {
            state.use().requestEnded(endpoint.id(), request.adapter());
        }
        if (cancelCall && call != null) {
            call.cancel();
        }
    }
}
