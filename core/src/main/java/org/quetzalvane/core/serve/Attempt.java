package org.quetzalvane.core.serve;

import org.quetzalvane.core.ResultCode;
import org.quetzalvane.core.choice.RetryBudgetShare;
import org.quetzalvane.core.event.EventCode;
import org.quetzalvane.core.fleet.Endpoint;
import org.quetzalvane.core.limit.MemoryAccount;
import org.quetzalvane.core.quarantine.RequestContent;
import org.quetzalvane.core.routes.Route;

/**
 * One attempt of a request at an endpoint, up to the first outcome, which is reported to the {@link Handler}.
 *
 * <p>After the outcome, later events of the call are ignored and the attempt no longer counts in the endpoint load.
 * Confined to the event loop.
 */
final class Attempt implements EndpointClient.Listener {
    /**
     * Time without a first byte after which the attempt counts as silent, as a multiple of the latency objective; twice
     * the expected prefill wait is added to it.
     */
    private static final double FIRST_BYTE_OBJECTIVE_FACTOR = 1.6;
    /**
     * Time without a chunk after which a response that has begun counts as silent, ms; below the shortest idle timeout
     * of callers, 2 s ({@link Route#callerIdleTimeoutMs()}).
     */
    private static final long NEXT_CHUNK_TIMEOUT_MS = 1_200;

    /**
     * Receives the outcome of an attempt and decides on retries; implemented by the request.
     *
     * <p>At most one of {@code refused}, {@code unreachable}, {@code withheld}, {@code failed} and {@code completed} is
     * called per attempt, none of them after {@link #cancel()}.
     */
    interface Handler {
        /** The endpoint stated that it did not run the request. */
        void refused(Attempt a, ResponseHead head);

        /** The connection failed before any byte of the request can have reached the endpoint. */
        void unreachable(Attempt a, String cause);

        /** The request was not written, although its connection was ready. */
        void withheld(Attempt a, WriteCheck.Withheld why);

        /**
         * The request may have run and its response is incomplete; {@code retryReserved} if a retry has already been
         * reserved.
         */
        void failed(Attempt a, ResultCode code, String cause, boolean retryReserved);

        /**
         * The attempt has made no progress within its timeout. Its endpoint may still go on, so the attempt stays open
         * until the request gives it up; called again at intervals while the silence lasts.
         */
        void silent(Attempt a);

        /** A head or a chunk of the response arrived. */
        void progressed(Attempt a);

        /**
         * Whether a response that the endpoint ran may be passed on; otherwise the attempt ends without another
         * outcome.
         */
        boolean accept(Attempt a, ResponseHead head);

        /** The complete response was passed on to the caller. */
        void completed(Attempt a);

        /** Whether the route allows another attempt after this one. */
        boolean mayRetryAfterThis();

        /** Reserves a retry for the next attempt, if there is one left. */
        boolean tryReserveRetry();

        /**
         * Streamed response to the caller, shared by all attempts. If it is not null, the response to the caller has
         * begun.
         */
        ResponseStream responseStream();

        /** Sets the streamed response when an attempt begins it. */
        void setResponseStream(ResponseStream stream);

        /** Software version that the rest of the streamed response must come from. */
        StreamVersion streamVersion();
    }

    private static final long NOT_WRITTEN = Long.MIN_VALUE;

    private final ServingContext context;
    private final CallerRequest request;
    private final Route route;
    private final CallerResponse response;
    private final Handler handler;
    private final Endpoint endpoint;
    private final boolean endpointIsEngine;
    private final WriteCheck writeCheck;
    private final long sentNanos;
    private final long pendingTokens;
    private EndpointClient.Call call;
    private boolean open = true;
    private boolean reading = true;
    private boolean silenceCounted;
    private boolean firstByteReceived;
    private final SilenceMonitor silence;
    private final ResponseBeginning beginning;
    private long writtenNanos = NOT_WRITTEN;
    private long firstByteNanos;
    private long longestGapMs;
    private ResponseHead head;
    private BodyBuffer buffer;
    private final MemoryAccount.Holding held;

    /** Objects shared by all attempts of one request. */
    record Shared(
            ServingContext context,
            CallerRequest request,
            RequestContent content,
            Route route,
            CallerResponse response,
            Handler handler) {}

    /**
     * Counts the attempt in the endpoint load; {@link #send} sends the request.
     *
     * @param retry the retry that the attempt uses when it is written, or null if it is the first one to be written
     */
    Attempt(Shared shared, Endpoint endpoint, boolean endpointIsEngine, RetryBudgetShare.Reservation retry) {
        this.context = shared.context();
        this.request = shared.request();
        this.route = shared.route();
        this.response = shared.response();
        this.handler = shared.handler();
        this.endpoint = endpoint;
        this.endpointIsEngine = endpointIsEngine;
        this.writeCheck = new WriteCheck(context, request, endpoint, retry);
        this.sentNanos = context.scheduler().nanoTime();
        this.held = context.memory().open(MemoryAccount.Kind.RESPONSE_PART, this::shed);
        this.beginning = new ResponseBeginning(context, shared.content(), endpoint, endpointIsEngine);
        this.silence = new SilenceMonitor(context.scheduler(), this::silenceLimitMs, this::reportSilence);
        context.endpointLoads()
                .requestStarted(endpoint.id(), request.tokenCounts().prompt());
        pendingTokens = context.endpointLoads().total(endpoint.id()).pendingTokens();
        if (request.adapter() != null) {
            context.adapterUsage().requestStarted(endpoint.id(), request.adapter());
        }
    }

    /**
     * Sends the request. On a retryable route, progress is checked from now on; otherwise only the deadline of the
     * request limits the attempt.
     */
    void send(EndpointRequest endpointRequest) {
        if (route.retryable()) {
            silence.start();
        }
        call = context.endpointClient().send(endpoint, endpointRequest, this);
    }

    Endpoint endpoint() {
        return endpoint;
    }

    /** The retry that the attempt uses or has used, or null if it is the first one. */
    RetryBudgetShare.Reservation retry() {
        return writeCheck.retry();
    }

    /** Head of the response; null before it arrives. */
    ResponseHead head() {
        return head;
    }

    long sentNanos() {
        return sentNanos;
    }

    long firstByteNanos() {
        return firstByteNanos;
    }

    /** Time of the last chunk, or of the start of the attempt if no chunk has arrived. */
    long lastProgressNanos() {
        return silence.lastProgressNanos();
    }

    /** Longest gap between two chunks observed so far, ms. */
    long longestGapMs() {
        return longestGapMs;
    }

    /** Resumes reading the response once the caller can be written to again. */
    void resumeReading() {
        if (call != null && !reading) {
            reading = true;
            silence.resume();
            call.setReading(true);
        }
    }

    private void pauseReading() {
        reading = false;
        silence.pause();
        call.setReading(false);
    }

    /** Time without a first byte after which a response that can be retried elsewhere counts as silent, ms. */
    private long firstByteTimeoutMs() {
        double expected = endpointIsEngine ? context.prefillEstimator().waitMs(pendingTokens) : 0;
        return Math.round(FIRST_BYTE_OBJECTIVE_FACTOR * route.objectiveMs() + 2 * expected);
    }

    private long silenceLimitMs() {
        return firstByteReceived ? NEXT_CHUNK_TIMEOUT_MS : firstByteTimeoutMs();
    }

    private void reportSilence(boolean first, long silentMs) {
        if (first) {
            recordSilence(silentMs);
        }
        handler.silent(this);
    }

    private void recordSilence(long silentMs) {
        boolean alternative = hasAlternative();
        boolean resumable = !callerResponseBegun() || handler.responseStream().resumable();
        AttemptLog.logSilence(context, request, endpoint, silentMs, callerResponseBegun(), resumable, alternative);
        if (alternative && !silenceCounted) {
            silenceCounted = true;
            AttemptLog.logIfSuspended(
                    context, endpoint, context.outlierDetector().recordUnreachable(endpoint.id()), "silent");
        }
    }

    @Override
    public boolean beforeWrite() {
        boolean written = open && response.callerPresent() && open && writeCheck.passes();
        if (written) {
            writtenNanos = context.scheduler().nanoTime();
        }
        return written;
    }

    /** Time since the request was written to its connection, ms, or -1 if it was not. */
    long writtenMsAgo() {
        return writtenNanos == NOT_WRITTEN ? -1 : (context.scheduler().nanoTime() - writtenNanos) / 1_000_000;
    }

    @Override
    public void partOfHead() {
        beginning.headStarted();
    }

    @Override
    public void head(ResponseHead h) {
        if (!open) {
            return;
        }
        head = h;
        beginning.headCompleted();
        silence.recordProgress();
        handler.progressed(this);
        if (h.notRun()) {
            close(true);
            handler.refused(this, h);
        } else if (h.success() && !h.authentic()) {
            close(true);
            handler.failed(
                    this,
                    ResultCode.WRONG_ECHO,
                    "response lacks the attempt id or signature, or has a content encoding",
                    false);
        } else if (!handler.accept(this, h)) {
            close(true);
        } else if (h.serverError() && !callerResponseBegun() && hasAlternative() && handler.tryReserveRetry()) {
            close(true);
            handler.failed(this, ResultCode.ENDPOINT_FAILED, "status=" + h.status(), true);
        } else if (callerResponseBegun() && !handler.responseStream().isContinuedBy(h)) {
            close(true);
            handler.failed(this, ResultCode.STREAM_BROKEN, "resume status=" + h.status(), false);
        } else if (h.success() && h.eventStream()) {
            beginning.streamBegun();
            beginEventStream(h);
        } else {
            buffer = new BodyBuffer();
        }
    }

    @Override
    public void body(byte[] chunk) {
        if (!open) {
            return;
        }
        handler.progressed(this);
        boolean first = !firstByteReceived;
        recordFirstByte();
        long now = context.scheduler().nanoTime();
        long gapMs = (now - silence.lastProgressNanos()) / 1_000_000;
        longestGapMs = Math.max(longestGapMs, gapMs);
        silence.recordProgress();
        beginning.chunkReceived();
        if (endpointIsEngine && !first) {
            AttemptLog.logIfSuspended(
                    context,
                    endpoint,
                    context.outlierDetector().recordGap(endpoint.id(), gapMs),
                    "slow, pause_ms=" + gapMs);
        }
        if (buffer == null) {
            relayChunk(chunk);
            return;
        }
        byte[] toSend = buffer.add(chunk);
        if (toSend == null) {
            held.hold(buffer.heldBytes());
        } else {
            relayBuffered(toSend);
        }
    }

    /** Passes on bytes of a response that is not, or no longer, buffered. */
    private void relayBuffered(byte[] toSend) {
        if (!buffer.flushed()) {
            held.close();
            buffer.markFlushed();
            beginStreamedResponse(ResponseStream.opaque());
        }
        if (!response.write(toSend)) {
            pauseReading();
        }
    }

    /** Frees memory of the node: gives up buffering a response, or a stream that is within an event. */
    private void shed() {
        if (buffer != null) {
            relayBuffered(buffer.content());
        } else {
            context.log().log(
                    EventCode.INPUT_TOO_LARGE, endpoint.id(), "input", "events held", "request", request.id());
            handler.responseStream().discardPartialEvent();
            failed(false, "memory for partial events is full");
        }
    }

    @Override
    public void end() {
        if (!open) {
            return;
        }
        if (buffer == null && handler.responseStream().isTruncated(head.delimited())) {
            failed(false, "stream ended within an event or before its first one");
            return;
        }
        close(false);
        if (head.success()) {
            beginning.completed();
        }
        if (head.serverError()) {
            context.outlierDetector().recordFailure(endpoint.id());
        } else {
            context.outlierDetector().recordSuccess(endpoint.id());
        }
        if (endpointIsEngine && head.success()) {
            context.prefillEstimator().recordRun((context.scheduler().nanoTime() - firstByteNanos) / 1e6);
        }
        if (buffer != null && !buffer.flushed()) {
            response.send(head, buffer.content());
        } else {
            response.end();
        }
        handler.completed(this);
    }

    @Override
    public void failed(boolean notSent, String cause) {
        if (!open) {
            return;
        }
        close(true);
        if (notSent) {
            beginning.unreachable();
            if (writeCheck.withheld() != null) {
                handler.withheld(this, writeCheck.withheld());
            } else {
                handler.unreachable(this, cause);
            }
            return;
        }
        beginning.broken();
        handler.failed(
                this, callerResponseBegun() ? ResultCode.STREAM_BROKEN : ResultCode.OUTCOME_UNKNOWN, cause, false);
    }

    /** Whether the attempt has had no outcome yet. */
    boolean isOpen() {
        return open;
    }

    /** Whether the response got past its beginning, so that its endpoint will not crash because of it. */
    boolean isPastBeginning() {
        return beginning.isPast();
    }

    /** Cancels the attempt without an outcome; has no effect after the outcome. */
    void cancel() {
        if (open) {
            close(true);
        }
    }

    private void beginEventStream(ResponseHead h) {
        if (handler.responseStream() == null) {
            beginStreamedResponse(ResponseStream.ofEvents(request.lastEventId(), route.retryable()));
        }
        handler.responseStream().beginAttempt();
    }

    private void beginStreamedResponse(ResponseStream stream) {
        handler.setResponseStream(stream);
        stream.begin(response, head);
    }

    private void relayChunk(byte[] chunk) {
        ResponseStream stream = handler.responseStream();
        byte[] toSend = stream.feed(chunk);
        if (toSend.length > 0) {
            handler.streamVersion().eventsSentFrom(endpoint);
            if (!response.write(toSend)) {
                pauseReading();
            }
        }
        if (stream.isEventTooLarge()) {
            context.log().log(EventCode.INPUT_TOO_LARGE, endpoint.id(), "input", "event", "request", request.id());
            failed(false, "event too large");
        } else if (stream.hasHead()) {
            failed(false, "head of a response within the stream");
        } else {
            held.hold(stream.heldBytes());
        }
    }

    private void recordFirstByte() {
        if (firstByteReceived) {
            return;
        }
        firstByteReceived = true;
        silence.recordProgress();
        firstByteNanos = silence.lastProgressNanos();
        context.endpointLoads().prefillDone(endpoint.id(), request.tokenCounts().prompt());
        context.prefillEstimator()
                .recordWait(pendingTokens, (context.scheduler().nanoTime() - sentNanos) / 1e6);
    }

    /** Whether the response to the caller has begun, by this attempt or an earlier one. */
    private boolean callerResponseBegun() {
        return handler.responseStream() != null;
    }

    /** Whether the request may be retried after this attempt and more than one endpoint may serve it. */
    private boolean hasAlternative() {
        String version = handler.streamVersion().required();
        return handler.mayRetryAfterThis()
                && context.endpoints().usable(endpoint.service(), version).size() > 1;
    }

    private void close(boolean cancelCall) {
        open = false;
        silence.stop();
        if (held.bytes() > 0 && buffer == null) {
            handler.responseStream().discardPartialEvent();
        }
        held.close();
        context.endpointLoads()
                .requestEnded(
                        endpoint.id(),
                        firstByteReceived ? 0 : request.tokenCounts().prompt());
        if (request.adapter() != null) {
            context.adapterUsage().requestEnded(endpoint.id(), request.adapter());
        }
        if (cancelCall && call != null) {
            call.cancel();
        }
    }
}
