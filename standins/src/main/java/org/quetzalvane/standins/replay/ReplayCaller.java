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
 * The callers of a replay: each asks a live node for an address, goes there, and follows at most two hints to another
 * node. Used by the replaying thread only.
 */
final class ReplayCaller {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final int MAX_HINTS = 2;
    private static final String FLOODING = "flood";

    private final Scheduler time;
    private final Map<String, ReplayNode> nodes;
    private final Measures measures;
    private long sequence;

    ReplayCaller(Scheduler time, Map<String, ReplayNode> nodes, Measures measures) {
        this.time = time;
        this.nodes = nodes;
        this.measures = measures;
    }

    void arrive(TraceEvent.Arrival a) {
        measures.arrived();
        long now = time.nanoTime();
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
                nodes.values().stream().filter(n -> n.gate().isLive()).toList();
        if (live.isEmpty()) {
            measures.refused(ResultCode.PEER_UNAVAILABLE, 0);
            return;
        }
        ReplayNode asked = live.get((int) (sequence % live.size()));
        try {
            String address = asked.coordinator().route(r.version()).owner().callerAddress();
            submit(address, r, 0);
        } catch (RefusedException e) {
            refused(r, e.refusal());
        }
    }

    private void submit(String address, InferenceRequest r, int hints) {
        ReplayNode node = nodes.get(address);
        if (node == null || !node.gate().isLive()) {
            measures.refused(ResultCode.PEER_UNAVAILABLE, waitedMillis(r));
            return;
        }
        node.coordinator().submit(r, new Sink(r, hints));
    }

    private void refused(InferenceRequest r, Refusal refusal) {
        measures.refused(refusal.code(), waitedMillis(r));
    }

    private long waitedMillis(InferenceRequest r) {
        return (time.nanoTime() - r.arrivalNanos()) / NANOS_PER_MILLI;
    }

    private final class Sink implements ResponseSink {
        private final InferenceRequest request;
        private final int hints;
        private final List<String> parts = new ArrayList<>();
        private boolean over;

        Sink(InferenceRequest request, int hints) {
            this.request = request;
            this.hints = hints;
        }

        @Override
        public void part(String text) {
            if (parts.isEmpty() && !request.caller().equals(FLOODING)) {
                measures.firstPart(waitedMillis(request));
            }
            parts.add(text);
            if (over || !text.equals(request.version() + " ")) {
                measures.wrong();
            }
        }

        @Override
        public void completed(int tokens) {
            end();
            if (tokens != request.maxTokens()) {
                measures.wrong();
            }
            measures.finished(time.nanoTime() - request.deadlineNanos() <= 0);
        }

        @Override
        public void refused(Refusal refusal) {
            end();
            if (!parts.isEmpty()) {
                measures.wrong();
            }
            if (!refusal.redirectAddress().isEmpty() && hints < MAX_HINTS) {
                submit(refusal.redirectAddress(), request, hints + 1);
            } else {
                ReplayCaller.this.refused(request, refusal);
            }
        }

        @Override
        public void failed(ResultCode code, String message) {
            end();
            measures.failed(code);
        }

        private void end() {
            if (over) {
                measures.wrong();
            }
            over = true;
        }
    }
}
