package org.quetzalvane.core.load;

import org.quetzalvane.core.ResultCode;
import org.quetzalvane.core.exc.EndpointException;
import org.quetzalvane.core.model.AdapterVersion;
import org.quetzalvane.core.port.AttemptListener;
import org.quetzalvane.core.port.EnginePort;
import org.quetzalvane.core.request.PendingRequest;

/**
 * One dispatched attempt: checks the engine's echo and passes the answer on while the attempt is current.
 *
 * <p>Invariants: no part passes before the echo named this attempt and exactly the adapter version asked; parts pass
 * only in order without gaps; after the attempt has ended nothing passes; after the echo no failure counts as proof
 * that the attempt did not run. Thread-safe.
 */
final class RunningAttempt implements AttemptListener {
    private final String id;
    private final PendingRequest ticket;
    private final Slot slot;
    private final EngineDispatcher dispatcher;
    private boolean echoed;
    private boolean ended;
    private int nextPart;
    private final long startNanos;
    private volatile long progressNanos;
    private volatile EnginePort.Cancellation cancellation = () -> {};

    RunningAttempt(String id, PendingRequest ticket, Slot slot, EngineDispatcher dispatcher, long nowNanos) {
        this.id = id;
        this.ticket = ticket;
        this.slot = slot;
        this.dispatcher = dispatcher;
        this.startNanos = nowNanos;
        this.progressNanos = nowNanos;
    }

    String id() {
        return id;
    }

    PendingRequest ticket() {
        return ticket;
    }

    Slot slot() {
        return slot;
    }

    long startNanos() {
        return startNanos;
    }

    long progressNanos() {
        return progressNanos;
    }

    void cancellation(EnginePort.Cancellation c) {
        cancellation = c;
        if (hasEnded()) {
            c.cancel();
        }
    }

    @Override
    public void started(String attemptId, AdapterVersion version) {
        progressNanos = dispatcher.now();
        boolean matches =
                attemptId.equals(id) && version.equals(ticket.request().version());
        synchronized (this) {
            if (ended) {
                return;
            }
            echoed = matches;
        }
        if (!matches) {
            abandon(ResultCode.WRONG_ECHO, "the engine echoed " + attemptId + " " + version);
        }
    }

    @Override
    public void part(int index, String text) {
        progressNanos = dispatcher.now();
        boolean inOrder;
        synchronized (this) {
            if (ended) {
                dispatcher.late(this);
                return;
            }
            inOrder = echoed && index == nextPart;
            nextPart++;
        }
        if (inOrder) {
            ticket.part(text);
        } else {
            abandon(ResultCode.WRONG_ECHO, "part " + index + " came out of order or before the echo");
        }
    }

    @Override
    public void end(int tokens) {
        boolean whole;
        synchronized (this) {
            if (ended) {
                dispatcher.late(this);
                return;
            }
            ended = true;
            whole = echoed;
        }
        dispatcher.ended(this);
        if (whole) {
            ticket.done(tokens);
            dispatcher.done(this, tokens);
        } else {
            ticket.fail(ResultCode.WRONG_ECHO, "the answer ended without an echo");
        }
    }

    @Override
    public void failed(EndpointException failure) {
        boolean begun;
        synchronized (this) {
            begun = echoed;
        }
        if (end()) {
            dispatcher.ended(this);
            dispatcher.attemptFailed(this, begun ? afterEcho(failure) : failure);
        }
    }

    /** Cancels the attempt at the engine and ends the request as failed. */
    void abandon(ResultCode code, String message) {
        if (end()) {
            cancellation.cancel();
            dispatcher.ended(this);
            dispatcher.abandoned(this, code, message);
        }
    }

    /** An engine that named the attempt as its own cannot prove afterwards that it did not run it. */
    private static EndpointException afterEcho(EndpointException failure) {
        return new EndpointException(failure.code(), failure.getMessage(), false);
    }

    private synchronized boolean hasEnded() {
        return ended;
    }

    private synchronized boolean end() {
        boolean first = !ended;
        ended = true;
        return first;
    }
}
