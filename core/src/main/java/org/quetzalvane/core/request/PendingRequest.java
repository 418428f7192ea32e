package org.quetzalvane.core.request;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;

import org.quetzalvane.core.ResultCode;

/**
 * A request on its way through this node, with the sink of its answer.
 *
 * <p>Invariants: the state moves only forward; exactly one final answer reaches the sink; a refusal is possible only
 * before dispatch or when the endpoint proved that it did not run the attempt. Thread-safe.
 */
public final class PendingRequest {
    private static final int MAX_REQUEUES = 3;

    private final InferenceRequest request;
    private final ResponseSink sink;
    private final AtomicInteger requeues = new AtomicInteger();
    private final AtomicReference<State> state = new AtomicReference<>(State.QUEUED);
    private volatile boolean callerDisconnected;

    /** States in the order a request passes them. */
    public enum State {
        QUEUED,
        DISPATCHED,
        STREAMING,
        DONE,
        REFUSED,
        FAILED;

        /** Whether the final answer was given. */
        public boolean isFinal() {
            return ordinal() >= DONE.ordinal();
        }
    }

    public PendingRequest(InferenceRequest request, ResponseSink sink) {
        this.request = request;
        this.sink = new SerialSink(sink);
    }

    public InferenceRequest request() {
        return request;
    }

    public State state() {
        return state.get();
    }

    /** Moves from queued to dispatched; false when the request has ended meanwhile. */
    public boolean dispatch() {
        return state.compareAndSet(State.QUEUED, State.DISPATCHED);
    }

    /**
     * Returns a dispatched request that was proved not run to the queue; false when it must not be dispatched again:
     * it is not idempotent, or has been dispatched too often.
     */
    public boolean requeue() {
        if (!request.idempotent() || requeues.incrementAndGet() > MAX_REQUEUES) {
            return false;
        }
        return state.compareAndSet(State.DISPATCHED, State.QUEUED);
    }

    /** Passes a part on; ignored after the end. */
    public void part(String text) {
        state.compareAndSet(State.DISPATCHED, State.STREAMING);
        if (state.get() == State.STREAMING) {
            sink.part(text);
        }
    }

    public void done(int tokens) {
        if (finish(State.DONE)) {
            sink.completed(tokens);
        }
    }

    /** Refuses the request; false when its final answer was already given or parts were passed on. */
    public boolean refuse(Refusal refusal) {
        boolean moved = state.compareAndSet(State.QUEUED, State.REFUSED)
                || state.compareAndSet(State.DISPATCHED, State.REFUSED);
        if (moved) {
            sink.refused(refusal);
        }
        return moved;
    }

    /** Ends the request as failed after dispatch. */
    public void fail(ResultCode code, String message) {
        if (finish(State.FAILED)) {
            sink.failed(code, message);
        }
    }

    /** Notes that the caller went away; its answer is no longer wanted. */
    public void markCallerDisconnected() {
        callerDisconnected = true;
    }

    public boolean callerDisconnected() {
        return callerDisconnected;
    }

    private boolean finish(State end) {
        State before = state.getAndUpdate(s -> s.isFinal() ? s : end);
        return !before.isFinal();
    }
}
