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
 * Submits requests, and retries idempotent ones that failed or that the engine or a node that is not the owner refused,
 * at another engine if there is one.
 *
 * <p>Invariants: a request that is not idempotent is submitted once; no retry starts after the deadline, beyond the
 * retry budget, after the caller disconnected, or after a chunk was forwarded that cannot be withdrawn; a retry starts
 * only after the final response of the submission before, and has another identifier, so that responses cannot be mixed
 * up. Thread-safe.
 */
final class RequestRetrier {
    private static final int MAX_SUBMISSIONS = 3;
    private static final int MAX_RETRY_BALANCE = 100;

    private final NodeContext context;
    private final Submitter submitter;
    private final RetryBudget budget = RetryBudget.withDefaultShare(MAX_RETRY_BALANCE);

    /** Submits a request once. */
    @FunctionalInterface
    interface Submitter {

        /**
         * Submits a request; its response reaches the sink.
         *
         * @param avoid names of the engines at which earlier submissions failed
         */
        SubmissionHandle submit(InferenceRequest request, Set<String> avoid, ResponseSink sink);
    }

    /**
     * Handle of a submission that was started. Immutable.
     *
     * @param engine name of the selected engine, or empty
     * @param cancel cancels the submission
     */
    record SubmissionHandle(String engine, Runnable cancel) {}

    RequestRetrier(NodeContext context, Submitter submitter) {
        this.context = context;
        this.submitter = submitter;
    }

    /** Submits a request and retries it if necessary; returns its cancellation. */
    Runnable submit(InferenceRequest request, ResponseSink sink) {
        budget.recordRequest();
        RetriedRequest retriedRequest = new RetriedRequest(request, sink);
        retriedRequest.startSubmission();
        return retriedRequest::cancel;
    }

    /**
     * One request with its submissions; the monitor guards the fields and is not held while other objects are called.
     */
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
            Submission submission;
            Set<String> avoid;
            synchronized (this) {
                submissionCount++;
                submission = new Submission(this, submissionCount);
                avoid = Set.copyOf(failedEngines);
            }
            InferenceRequest submittedRequest =
                    submission.number == 1 ? request : request.withId(request.id() + "~" + submission.number);
            SubmissionHandle handle = submitter.submit(submittedRequest, avoid, submission);
            boolean cancelledMeanwhile;
            boolean retryPending;
            synchronized (this) {
                submission.engine = handle.engine();
                cancelledMeanwhile = cancelled;
                retryPending = submission.retryPending;
                if (submission.number == submissionCount) {
                    cancelCurrent = handle.cancel();
                }
            }
            if (cancelledMeanwhile) {
                handle.cancel().run();
            }
            if (retryPending) {
                retry(submission);
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

        /**
         * Withdraws the forwarded chunks and takes a retry from the retry budget; returns false if no retry is allowed.
         */
        private boolean tryAcquireRetry() {
            synchronized (this) {
                if (cancelled || submissionCount >= MAX_SUBMISSIONS) {
                    return false;
                }
            }
            boolean inTime = request.deadlineNanos() - context.scheduler().nanoTime() > 0;
            return request.idempotent() && inTime && sink.tryReset() && budget.tryAcquire();
        }

        /**
         * Starts the next submission. If the failure arrived before {@code submitter} returned the engine of the failed
         * submission, {@link #startSubmission} does so when it knows the engine.
         */
        private void retryWhenEngineKnown(Submission submission) {
            synchronized (this) {
                submission.retryPending = true;
                if (submission.engine == null) {
                    return;
                }
            }
            retry(submission);
        }

        private void retry(Submission submission) {
            synchronized (this) {
                failedEngines.add(submission.engine);
            }
            context.events().record(EventCode.REQUEST_RETRIED, request.id(), "after " + submission.engine);
            startSubmission();
        }
    }

    /** One submission of a request and the sink of its response. */
    private static final class Submission implements ResponseSink {
        private final RetriedRequest retriedRequest;
        private final int number;
        private String engine;
        private boolean retryPending;

        Submission(RetriedRequest retriedRequest, int number) {
            this.retriedRequest = retriedRequest;
            this.number = number;
        }

        @Override
        public void part(String text) {
            retriedRequest.sink.part(text);
        }

        @Override
        public void completed(int tokens) {
            retriedRequest.sink.completed(tokens);
        }

        @Override
        public void refused(Refusal refusal) {
            boolean retryable = refusal.code() == ResultCode.ENDPOINT_REJECTED
                    || refusal.code() == ResultCode.ENDPOINT_UNREACHABLE
                    || refusal.code() == ResultCode.NOT_OWNER;
            if (retryable && retriedRequest.tryAcquireRetry()) {
                retriedRequest.retryWhenEngineKnown(this);
            } else {
                retriedRequest.sink.refused(refusal);
            }
        }

        @Override
        public void failed(ResultCode code, String message) {
            if (code != ResultCode.CALLER_GONE && retriedRequest.tryAcquireRetry()) {
                retriedRequest.retryWhenEngineKnown(this);
            } else {
                retriedRequest.sink.failed(code, message);
            }
        }
    }
}
