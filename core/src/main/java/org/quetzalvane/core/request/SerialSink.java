package org.quetzalvane.core.request;

import java.util.ArrayDeque;
import java.util.Deque;

import org.quetzalvane.core.ResultCode;

/**
 * Passes an answer on to another sink, one call at a time and in order, whichever threads it comes from.
 *
 * <p>Invariants: nothing follows the first final answer; a refusal after a part becomes an unknown outcome.
 * Thread-safe; its monitor is a leaf and is not held while the other sink is called.
 */
public final class SerialSink implements ResponseSink {
    private final ResponseSink target;
    private final Deque<Runnable> pending = new ArrayDeque<>();
    private boolean parted;
    private boolean ended;
    private boolean delivering;

    public SerialSink(ResponseSink target) {
        this.target = target;
    }

    @Override
    public void part(String text) {
        synchronized (this) {
            if (ended) {
                return;
            }
            parted = true;
            pending.add(() -> target.part(text));
        }
        deliver();
    }

    @Override
    public void completed(int tokens) {
        end(() -> target.completed(tokens));
    }

    @Override
    public void refused(Refusal refusal) {
        boolean mayRefuse;
        synchronized (this) {
            mayRefuse = !parted;
        }
        end(
                mayRefuse
                        ? () -> target.refused(refusal)
                        : () -> target.failed(
                                ResultCode.OUTCOME_UNKNOWN, "refused after a part: " + refusal.message()));
    }

    @Override
    public void failed(ResultCode code, String message) {
        end(() -> target.failed(code, message));
    }

    private void end(Runnable call) {
        synchronized (this) {
            if (ended) {
                return;
            }
            ended = true;
            pending.add(call);
        }
        deliver();
    }

    private void deliver() {
        for (Runnable call = next(false); call != null; call = next(true)) {
            run(call);
        }
    }

    private void run(Runnable call) {
        try {
            call.run();
        } catch (RuntimeException e) {
            stopDelivering();
            throw e;
        }
    }

    private synchronized void stopDelivering() {
        delivering = false;
    }

    private synchronized Runnable next(boolean mine) {
        if (delivering && !mine) {
            return null;
        }
        Runnable call = pending.poll();
        delivering = call != null;
        return call;
    }
}
