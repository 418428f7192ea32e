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
 * Retries idempotent requests, on another engine if there is one.
 *
 * <p>Invariants: a request that is not idempotent has one attempt; no retry starts after the deadline, beyond the retry
 * budget, after the caller disconnected, or after a chunk was forwarded that cannot be withdrawn; a retry starts only
 * after the final response of the attempt before, and has another identifier, so that responses cannot be mixed up.
 * Thread-safe.
 */
final class RequestRetrier {
    private static final int MAX_SUBMISSIONS = 3;
    private static final int MAX_RETRY_BALANCE = 100;

    private final NodeContext context;
    private final Submitter submitter;
    private final RetryBudget budget = RetryBudget.withDefaultShare(MAX_RETRY_BALANCE);

    /** Submits attempts to engines. */
    @FunctionalInterface
    interface Submitter {

        /**
         * Submits one attempt of a request.
         *
         * @param avoid names of the engines at which earlier attempts failed
         */
        SubmissionHandle submit(InferenceRequest request, Set<String> avoid, ResponseSink sink);
    }

    /**
     * A started attempt. Immutable.
     *
     * @param engine name of the selected engine, or empty
     * @param cancel cancels the attempt
     */
    record SubmissionHandle(String engine, Runnable cancel) {}

    RequestRetrier(NodeContext context, Submitter submitter) {
        this.context = context;
        this.submitter = submitter;
    }

    /** Submits a request; returns its cancellation. */
    Runnable submit(InferenceRequest request, ResponseSink sink) {
        budget.recordRequest();
        RetriedRequest attempts = new RetriedRequest(request, sink);
        attempts.startSubmission();
        return attempts::cancel;
    }

    /** One request with its attempts; the monitor guards the fields and is not held while other objects are called. */
    private final class RetriedRequest {
        private final InferenceRequest request;
        private final ResponseSink sink;
        private final Set<String> failedEngines = new HashSet<>();
        private int submissionCount;
        private boolean cancelled;
        private Runnable cancelCurrent = () -> {};

        RetriedRequest(InferenceRequest request, ResponseSink sink) {
            this.request = request;
            this.sink = sink;
        }

        void startSubmission() {
            Submission attempt;
            Set<String> avoid;
            synchronized (this) {
                submissionCount++;
                attempt = new Submission(this, submissionCount);
                avoid = Set.copyOf(failedEngines);
            }
            InferenceRequest attemptRequest =
                    attempt.number == 1 ? request : request.withId(request.id() + "~" + attempt.number);
            SubmissionHandle started = submitter.submit(attemptRequest, avoid, attempt);
            boolean cancelledMeanwhile;
            boolean retryPending;
            synchronized (this) {
                attempt.engine = started.engine();
                cancelledMeanwhile = cancelled;
                retryPending = attempt.retryPending;
                if (attempt.number == submissionCount) {
                    cancelCurrent = started.cancel();
                }
            }
            if (cancelledMeanwhile) {
                started.cancel().run();
            }
            if (retryPending) {
                retry(attempt);
            }
        }

        void cancel() {
            Runnable current;
            synchronized (this) {
                cancelled = true;
                current = cancelCurrent;
            }
            current.run();
        }

        /** Returns whether a retry is allowed, and takes it from the retry budget. */
        private boolean tryAcquireRetry() {
            synchronized (this) {
                if (cancelled || submissionCount >= MAX_SUBMISSIONS) {
                    return false;
                }
            }
            boolean inTime = request.deadlineNanos() - context.scheduler().nanoTime() > 0;
            return request.idempotent() && inTime && sink.tryReset() && budget.tryAcquire();
        }

        /** Starts the next attempt once the engine of the failed one is known. */
        private void retryWhenEngineKnown(Submission attempt) {
            synchronized (this) {
                attempt.retryPending = true;
                if (attempt.engine == null) {
                    return;
                }
            }
            retry(attempt);
        }

        private void retry(Submission attempt) {
            synchronized (this) {
                failedEngines.add(attempt.engine);
            }
            context.events().record(EventCode.REQUEST_RETRIED, request.id(), "after " + attempt.engine);
            startSubmission();
        }
    }

    /** One attempt and the sink of its response. */
    private static final class Submission implements ResponseSink {
        private final RetriedRequest attempts;
        private final int number;
        private String engine;
        private boolean retryPending;

        Submission(RetriedRequest attempts, int number) {
            this.attempts = attempts;
            this.number = number;
        }

        @Override
        public void part(String text) {
            attempts.sink.part(text);
        }

        @Override
        public void completed(int tokens) {
            attempts.sink.completed(tokens);
        }

        @Override
        public void refused(Refusal refusal) {
            boolean retryable = refusal.code() == ResultCode.ENDPOINT_REJECTED
                    || refusal.code() == ResultCode.ENDPOINT_UNREACHABLE
                    || refusal.code() == ResultCode.NOT_OWNER;
            if (retryable && attempts.tryAcquireRetry()) {
                attempts.retryWhenEngineKnown(this);
            } else {
                attempts.sink.refused(refusal);
            }
        }

        @Override
        public void failed(ResultCode code, String message) {
            if (code != ResultCode.CALLER_GONE && attempts.tryAcquireRetry()) {
                attempts.retryWhenEngineKnown(this);
            } else {
                attempts.sink.failed(code, message);
            }
        }
    }
}
