package org.quetzalvane.core.request;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;

import org.quetzalvane.core.ResultCode;

/**
 * A request that is in progress on this node, with its state and the sink of its response.
 *
 * <p>Invariants: the state moves only forward; exactly one final response reaches the sink; a refusal is possible only
 * before dispatch or when the endpoint proved that it did not run the attempt. Thread-safe.
 */
public final class PendingRequest {
    private static final int MAX_REQUEUES = 3;

    private final InferenceRequest request;
    private final ResponseSink sink;
    private final AtomicInteger requeues = new AtomicInteger();
    private final AtomicReference<State> state = new AtomicReference<>(State.QUEUED);
    private volatile boolean callerDisconnected;

    /** States of a request, in order. */
    public enum State {
        QUEUED,
        DISPATCHED,
        STREAMING,
        COMPLETED,
        REFUSED,
        FAILED;

        /** Returns whether the final response was given. */
        public boolean isFinal() {
            return ordinal() >= COMPLETED.ordinal();
        }
    }

    public PendingRequest(InferenceRequest request, ResponseSink sink) {
        this.request = request;
        this.sink = new SerialResponseSink(sink);
    }

    public InferenceRequest request() {
        return request;
    }

    public State state() {
        return state.get();
    }

    /** Changes the state from queued to dispatched; returns false if the request has ended meanwhile. */
    public boolean dispatch() {
        return state.compareAndSet(State.QUEUED, State.DISPATCHED);
    }

    /**
     * Changes the state of a dispatched request that was provably not run back to queued. Returns false if it must not
     * be dispatched again because it is not idempotent or was requeued too often.
     */
    public boolean requeue() {
        if (!request.idempotent() || requeues.incrementAndGet() > MAX_REQUEUES) {
            return false;
        }
        return state.compareAndSet(State.DISPATCHED, State.QUEUED);
    }

    /** Forwards a chunk; no effect after the final response. */
    public void part(String text) {
        state.compareAndSet(State.DISPATCHED, State.STREAMING);
        if (state.get() == State.STREAMING) {
            sink.part(text);
        }
    }

    /** Completes the request; no effect after the final response. */
    public void complete(int tokens) {
        if (finish(State.COMPLETED)) {
            sink.completed(tokens);
        }
    }

    /** Refuses the request; returns false, without effect, after the final response or a forwarded chunk. */
    public boolean refuse(Refusal refusal) {
        boolean changed = state.compareAndSet(State.QUEUED, State.REFUSED)
                || state.compareAndSet(State.DISPATCHED, State.REFUSED);
        if (changed) {
            sink.refused(refusal);
        }
        return changed;
    }

    /** Fails the request after it was dispatched. */
    public void fail(ResultCode code, String message) {
        if (finish(State.FAILED)) {
            sink.failed(code, message);
        }
    }

    /** Records that the caller disconnected, so that the response is no longer needed. */
    public void markCallerDisconnected() {
        callerDisconnected = true;
    }

    public boolean callerDisconnected() {
        return callerDisconnected;
    }

    private boolean finish(State finalState) {
        State previous = state.getAndUpdate(s -> s.isFinal() ? s : finalState);
        return !previous.isFinal();
    }
}
