package org.quetzalvane.core.node;

import java.util.HashSet;
import java.util.Set;

import org.quetzalvane.core.ResultCode;
import org.quetzalvane.core.cluster.NodeContext;
import org.quetzalvane.core.event.EventCode;
import org.quetzalvane.core.request.InferenceRequest;
import org.quetzalvane.core.request.Refusal;
import org.quetzalvane.core.request.ResponseSink;
import org.quetzalvane.core.request.RetryBudget;

/**
 * Tries idempotent requests again, on another engine when there is one.
 *
 * <p>Invariants: a request that is not idempotent has one try; no try begins after the deadline, without the budget,
 * after the caller left, or after a part was passed on that cannot be taken back; the next try begins only after the
 * final answer of the one before, and bears another identifier, so that their answers cannot be crossed. Thread-safe.
 */
final class Retries {
    private static final int MAX_TRIES = 3;
    private static final int MAX_SAVED = 100;

    private final NodeContext context;
    private final Path path;
    private final RetryBudget budget = RetryBudget.tenth(MAX_SAVED);

    /** One way of a request to an engine. */
    @FunctionalInterface
    interface Path {

        /**
         * Takes one try of a request.
         *
         * @param avoid names of engines that failed before
         */
        Started submit(InferenceRequest request, Set<String> avoid, ResponseSink sink);
    }

    /**
     * A try under way. Immutable.
     *
     * @param engine the engine chosen, or empty
     * @param cancel cancels it
     */
    record Started(String engine, Runnable cancel) {}

    Retries(NodeContext context, Path path) {
        this.context = context;
        this.path = path;
    }

    /** Takes a request; returns its cancellation. */
    Runnable submit(InferenceRequest request, ResponseSink sink) {
        budget.counted();
        Call call = new Call(request, sink);
        call.begin();
        return call::cancel;
    }

    /** One request with its tries; the monitor guards the fields and is not held while others are called. */
    private final class Call {
        private final InferenceRequest request;
        private final ResponseSink sink;
        private final Set<String> failed = new HashSet<>();
        private int tries;
        private boolean cancelled;
        private Runnable cancelTry = () -> {};

        Call(InferenceRequest request, ResponseSink sink) {
            this.request = request;
            this.sink = sink;
        }

        void begin() {
            Try t;
            Set<String> avoid;
            synchronized (this) {
                tries++;
                t = new Try(this, tries);
                avoid = Set.copyOf(failed);
            }
            InferenceRequest named = t.number == 1 ? request : request.withId(request.id() + "~" + t.number);
            Started started = path.submit(named, avoid, t);
            boolean left;
            boolean over;
            synchronized (this) {
                t.engine = started.engine();
                left = cancelled;
                over = t.again;
                if (t.number == tries) {
                    cancelTry = started.cancel();
                }
            }
            if (left) {
                started.cancel().run();
            }
            if (over) {
                again(t);
            }
        }

        void cancel() {
            Runnable current;
            synchronized (this) {
                cancelled = true;
                current = cancelTry;
            }
            current.run();
        }

        /** Whether another try may be made; takes it from the budget. */
        private boolean mayTryAgain() {
            synchronized (this) {
                if (cancelled || tries >= MAX_TRIES) {
                    return false;
                }
            }
            boolean inTime = request.deadlineNanos() - context.scheduler().nanoTime() > 0;
            return request.idempotent() && inTime && sink.tryReset() && budget.tryTake();
        }

        /** Begins the next try once the engine of the one before is known. */
        private void tryAgain(Try t) {
            synchronized (this) {
                t.again = true;
                if (t.engine == null) {
                    return;
                }
            }
            again(t);
        }

        private void again(Try t) {
            synchronized (this) {
                failed.add(t.engine);
            }
            context.events().record(EventCode.REQUEST_RETRIED, request.id(), "after " + t.engine);
            begin();
        }
    }

    /** The answer to one try. */
    private static final class Try implements ResponseSink {
        private final Call call;
        private final int number;
        private String engine;
        private boolean again;

        Try(Call call, int number) {
            this.call = call;
            this.number = number;
        }

        @Override
        public void part(String text) {
            call.sink.part(text);
        }

        @Override
        public void completed(int tokens) {
            call.sink.completed(tokens);
        }

        @Override
        public void refused(Refusal refusal) {
            boolean elsewhere = refusal.code() == ResultCode.ENDPOINT_REJECTED
                    || refusal.code() == ResultCode.ENDPOINT_UNREACHABLE
                    || refusal.code() == ResultCode.NOT_OWNER;
            if (elsewhere && call.mayTryAgain()) {
                call.tryAgain(this);
            } else {
                call.sink.refused(refusal);
            }
        }

        @Override
        public void failed(ResultCode code, String message) {
            if (code != ResultCode.CALLER_GONE && call.mayTryAgain()) {
                call.tryAgain(this);
            } else {
                call.sink.failed(code, message);
            }
        }
    }
}
