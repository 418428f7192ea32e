package org.quetzalvane.core.request;

import java.util.ArrayDeque;
import java.util.Deque;

import org.quetzalvane.core.ResultCode;

/**
 * Forwards a response to another sink, one call at a time and in order, from any threads.
 *
 * <p>Invariants: nothing follows the first final call; a refusal after a chunk becomes an unknown outcome. Thread-safe;
 * its monitor is a leaf in the lock order and is not held while the other sink is called.
 */
public final class SerialResponseSink implements ResponseSink {
    private final ResponseSink delegate;
    private final Deque<Runnable> queuedCalls = new ArrayDeque<>();
    private boolean hasChunks;
    private boolean ended;
    private boolean delivering;

    public SerialResponseSink(ResponseSink delegate) {
        this.delegate = delegate;
    }

    @Override
    public void part(String text) {
        synchronized (this) {
            if (ended) {
                return;
            }
            hasChunks = true;
            queuedCalls.add(() -> delegate.part(text));
        }
        deliver();
    }

    @Override
    public void completed(int tokens) {
        enqueueFinal(() -> delegate.completed(tokens));
    }

    @Override
    public void refused(Refusal refusal) {
        boolean notStarted;
        synchronized (this) {
            notStarted = !hasChunks;
        }
        enqueueFinal(
                notStarted
                        ? () -> delegate.refused(refusal)
                        : () -> delegate.failed(
                                ResultCode.OUTCOME_UNKNOWN, "refused after a chunk was sent: " + refusal.message()));
    }

    @Override
    public void failed(ResultCode code, String message) {
        enqueueFinal(() -> delegate.failed(code, message));
    }

    private void enqueueFinal(Runnable finalCall) {
        synchronized (this) {
            if (ended) {
                return;
            }
            ended = true;
            queuedCalls.add(finalCall);
        }
        deliver();
    }

    private void deliver() {
        for (Runnable call = pollNext(false); call != null; call = pollNext(true)) {
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

    /**
     * Returns the next call, or null if none is queued or another thread delivers.
     *
     * @param calledByDeliverer whether the calling thread is the one that delivers
     */
    private synchronized Runnable pollNext(boolean calledByDeliverer) {
        if (delivering && !calledByDeliverer) {
            return null;
        }
        Runnable call = queuedCalls.poll();
        delivering = call != null;
        return call;
    }
}
