package org.quetzalvane.core.load;

import org.quetzalvane.core.ResultCode;
import org.quetzalvane.core.exc.EndpointException;
import org.quetzalvane.core.model.AdapterVersion;
import org.quetzalvane.core.port.AttemptListener;
import org.quetzalvane.core.port.EnginePort;
import org.quetzalvane.core.request.PendingRequest;

/**
 * One attempt of a request at an engine. Checks that the response begins with the id and the adapter version of the
 * attempt (the echo), and forwards its chunks until the attempt has ended.
 *
 * <p>Invariants: no chunk is forwarded before the engine echoed the id of this attempt and exactly the requested
 * adapter version; chunks are forwarded only in order and without gaps; nothing is forwarded after the attempt has
 * ended; after the echo no failure counts as proof that the attempt was not run. Thread-safe.
 */
final class RunningAttempt implements AttemptListener {
    private final String id;
    private final PendingRequest pending;
    private final Slot slot;
    private final EngineDispatcher dispatcher;
    private boolean echoReceived;
    private boolean ended;
    private int nextIndex;
    private final long startedAtNanos;
    private volatile long lastProgressAtNanos;
    private volatile EnginePort.Cancellation cancellation = () -> {};

    RunningAttempt(String id, PendingRequest pending, Slot slot, EngineDispatcher dispatcher, long nowNanos) {
        this.id = id;
        this.pending = pending;
        this.slot = slot;
        this.dispatcher = dispatcher;
        this.startedAtNanos = nowNanos;
        this.lastProgressAtNanos = nowNanos;
    }

    String id() {
        return id;
    }

    PendingRequest pending() {
        return pending;
    }

    Slot slot() {
        return slot;
    }

    long startedAtNanos() {
        return startedAtNanos;
    }

    long lastProgressAtNanos() {
        return lastProgressAtNanos;
    }

    void setCancellation(EnginePort.Cancellation c) {
        cancellation = c;
        if (hasEnded()) {
            c.cancel();
        }
    }

    @Override
    public void started(String attemptId, AdapterVersion version) {
        lastProgressAtNanos = dispatcher.now();
        boolean matches =
                attemptId.equals(id) && version.equals(pending.request().version());
        synchronized (this) {
            if (ended) {
                return;
            }
            echoReceived = matches;
        }
        if (!matches) {
            abort(
                    ResultCode.WRONG_ECHO,
                    "expected the echo of this attempt's id and version, got " + attemptId + " " + version);
        }
    }

    @Override
    public void part(int index, String text) {
        lastProgressAtNanos = dispatcher.now();
        boolean inOrder;
        synchronized (this) {
            if (ended) {
                dispatcher.recordLateResponse(this);
                return;
            }
            inOrder = echoReceived && index == nextIndex;
            nextIndex++;
        }
        if (inOrder) {
            pending.part(text);
        } else {
            abort(ResultCode.WRONG_ECHO, "chunk " + index + " arrived out of order or before the echo");
        }
    }

    @Override
    public void end(int tokens) {
        boolean complete;
        synchronized (this) {
            if (ended) {
                dispatcher.recordLateResponse(this);
                return;
            }
            ended = true;
            complete = echoReceived;
        }
        dispatcher.releaseSlot(this);
        if (complete) {
            pending.complete(tokens);
            dispatcher.recordCompletion(this, tokens);
        } else {
            pending.fail(ResultCode.WRONG_ECHO, "the response ended without an echo");
        }
    }

    @Override
    public void failed(EndpointException failure) {
        boolean hadEcho;
        synchronized (this) {
            hadEcho = echoReceived;
        }
        if (markEnded()) {
            dispatcher.releaseSlot(this);
            dispatcher.handleFailure(this, hadEcho ? afterEcho(failure) : failure);
        }
    }

    /** Cancels the attempt at the engine and fails the request. */
    void abort(ResultCode code, String message) {
        if (markEnded()) {
            cancellation.cancel();
            dispatcher.releaseSlot(this);
            dispatcher.failRequest(this, code, message);
        }
    }

    /** An engine that echoed the attempt can no longer prove that it did not run it. */
    private static EndpointException afterEcho(EndpointException failure) {
        return new EndpointException(failure.code(), failure.getMessage(), false);
    }

    private synchronized boolean hasEnded() {
        return ended;
    }

    private synchronized boolean markEnded() {
        boolean first = !ended;
        ended = true;
        return first;
    }
}
