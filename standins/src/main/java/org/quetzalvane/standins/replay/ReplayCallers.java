package org.quetzalvane.standins.replay;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import org.quetzalvane.core.ResultCode;
import org.quetzalvane.core.exc.RefusedException;
import org.quetzalvane.core.model.AdapterVersion;
import org.quetzalvane.core.request.InferenceRequest;
import org.quetzalvane.core.request.Refusal;
import org.quetzalvane.core.request.ResponseSink;
import org.quetzalvane.core.time.Scheduler;

/**
 * Submits the arrivals of a trace: each is resolved at a live node in turn, sent to the resolved address, and follows
 * at most two redirects to other nodes. Not thread-safe.
 */
final class ReplayCallers {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final int MAX_REDIRECTS = 2;

    /** Caller whose requests do not count for the time to the first chunk. */
    private static final String FLOODING_CALLER = "flood";

    private final Scheduler scheduler;
    private final Map<String, ReplayNode> nodes;
    private final ReplayStatistics statistics;
    private long sequence;

    ReplayCallers(Scheduler scheduler, Map<String, ReplayNode> nodes, ReplayStatistics statistics) {
        this.scheduler = scheduler;
        this.nodes = nodes;
        this.statistics = statistics;
    }

    void submitArrival(TraceEvent.Arrival a) {
        statistics.recordArrival();
        long now = scheduler.nanoTime();
        InferenceRequest r = new InferenceRequest(
                "q" + ++sequence,
                a.caller(),
                new AdapterVersion(a.adapter(), a.version()),
                a.prefix(),
                a.tokens(),
                a.priority(),
                now,
                now + a.deadline() * NANOS_PER_MILLI,
                a.idempotent());
        List<ReplayNode> live =
                nodes.values().stream().filter(n -> n.scheduler().isLive()).toList();
        if (live.isEmpty()) {
            statistics.recordRefusal(ResultCode.PEER_UNAVAILABLE, 0);
            return;
        }
        ReplayNode resolver = live.get((int) (sequence % live.size()));
        try {
            String address = resolver.coordinator().route(r.version()).owner().callerAddress();
            submit(address, r, 0);
        } catch (RefusedException e) {
            recordRefusal(r, e.refusal());
        }
    }

    private void submit(String address, InferenceRequest r, int redirects) {
        ReplayNode node = nodes.get(address);
        if (node == null || !node.scheduler().isLive()) {
            statistics.recordRefusal(ResultCode.PEER_UNAVAILABLE, elapsedMillis(r));
            return;
        }
        node.coordinator().submit(r, new StatisticsSink(r, redirects));
    }

    private void recordRefusal(InferenceRequest r, Refusal refusal) {
        statistics.recordRefusal(refusal.code(), elapsedMillis(r));
    }

    private long elapsedMillis(InferenceRequest r) {
        return (scheduler.nanoTime() - r.arrivalNanos()) / NANOS_PER_MILLI;
    }

    private final class StatisticsSink implements ResponseSink {
        private final InferenceRequest request;
        private final int redirects;
        private final List<String> chunks = new ArrayList<>();
        private boolean finished;

        StatisticsSink(InferenceRequest request, int redirects) {
            this.request = request;
            this.redirects = redirects;
        }

        @Override
        public void part(String text) {
            if (chunks.isEmpty() && !request.caller().equals(FLOODING_CALLER)) {
                statistics.recordFirstChunk(elapsedMillis(request));
            }
            chunks.add(text);
            if (finished || !text.equals(request.version() + " ")) {
                statistics.recordViolation();
            }
        }

        @Override
        public void completed(int tokens) {
            markFinished();
            if (tokens != request.maxTokens()) {
                statistics.recordViolation();
            }
            statistics.recordFinish(scheduler.nanoTime() - request.deadlineNanos() <= 0);
        }

        @Override
        public void refused(Refusal refusal) {
            markFinished();
            if (!chunks.isEmpty()) {
                statistics.recordViolation();
            }
            if (!refusal.redirectAddress().isEmpty() && redirects < MAX_REDIRECTS) {
                submit(refusal.redirectAddress(), request, redirects + 1);
            } else {
                ReplayCallers.this.recordRefusal(request, refusal);
            }
        }

        @Override
        public void failed(ResultCode code, String message) {
            markFinished();
            statistics.recordFailure(code);
        }

        private void markFinished() {
            if (finished) {
                statistics.recordViolation();
            }
            finished = true;
        }
    }
}
