package org.quetzalvane.core.quarantine;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

import org.quetzalvane.core.cluster.RendezvousHash;
import org.quetzalvane.core.event.EventCode;
import org.quetzalvane.core.event.StructuredLog;
import org.quetzalvane.core.time.Scheduler;

/**
 * Trials of condemned sets: at most one at a time over all nodes, admitted by the hub that is first in rendezvous order
 * for the set. A hub that sees half of the hubs seen lately, or fewer, admits none. Confined to the event loop.
 */
public final class QuarantineTrials {
    /** Time for which the greatest number of hubs is remembered at least, ms; twice that at most. */
    static final long HUB_MEMORY_MS = 300_000;

    private final Scheduler scheduler;
    private final StructuredLog log;
    private final String self;
    private final QuarantineState state;
    private final Supplier<List<String>> hubs;
    /** Set on trial by the hash of the request that this node sent. */
    private final Map<Long, Long> running = new HashMap<>();

    private long bucketNanos;
    private int mostHubs;
    private int mostHubsBefore;

    /** How a trial went on. */
    public enum Outcome {
        BEGUN,
        /** The response got past its beginning. */
        PASSED,
        /** The instance ended. */
        CRASHED,
        /** Ended without telling anything. */
        ENDED,
        /** Not a trial: the parts were acquitted because others explain the crashes. */
        ACQUITTED
    }

    /**
     * Creates the trials of a node.
     *
     * @param hubs addresses of the hubs that are up, with this node if it is one
     */
    public QuarantineTrials(
            Scheduler scheduler, StructuredLog log, String self, QuarantineState state, Supplier<List<String>> hubs) {
        this.scheduler = scheduler;
        this.log = log;
        this.self = self;
        this.state = state;
        this.hubs = hubs;
        this.bucketNanos = scheduler.nanoTime();
    }

    /** Counts the hubs; called regularly. */
    public void countHubs() {
        long now = scheduler.nanoTime();
        if (now - bucketNanos > HUB_MEMORY_MS * 1_000_000) {
            bucketNanos = now;
            mostHubsBefore = mostHubs;
            mostHubs = 0;
        }
        mostHubs = Math.max(mostHubs, hubs.get().size());
    }

    /** Begins a trial of a set if one is due and this node is the one to admit it; returns whether it does. */
    boolean tryBegin(CondemnedSet s, long request) {
        if (!s.trialDue(scheduler.nanoTime()) || running.containsKey(request) || !isFirst(s)) {
            return false;
        }
        running.put(request, s.parts().id());
        state.sets().update(s.withTrialBegun(scheduler.nanoTime()));
        log(s, Outcome.BEGUN, request);
        return true;
    }

    /** The set of which a request is the trial in progress, or null. */
    CondemnedSet onTrial(long request) {
        Long id = running.get(request);
        return id == null ? null : state.sets().find(id);
    }

    /** Ends the trial of a request. */
    void end(long request, Outcome outcome) {
        CondemnedSet s = onTrial(request);
        running.remove(request);
        if (s != null) {
            log(s, outcome, request);
            apply(s, outcome);
        }
    }

    /** Applies how a trial at another node went on; returns whether it is news. */
    boolean applyReported(long id, Outcome outcome) {
        CondemnedSet s = state.sets().find(id);
        if (s != null) {
            return apply(s, outcome);
        }
        if (outcome == Outcome.PASSED && !state.sets().liftedSince(id, scheduler.nanoTime() - 1_000_000_000L)) {
            state.sets().markLifted(id);
            return true;
        }
        return false;
    }

    /** Requests on trial whose time is over. */
    List<Long> expired() {
        long now = scheduler.nanoTime();
        return running.keySet().stream()
                .filter(r -> {
                    CondemnedSet s = onTrial(r);
                    return s == null || now - s.trialUntilNanos() >= 0;
                })
                .toList();
    }

    private boolean apply(CondemnedSet s, Outcome outcome) {
        long now = scheduler.nanoTime();
        switch (outcome) {
            case BEGUN -> state.sets().update(s.withTrialBegun(now));
            case PASSED -> state.lift(s, "trial passed");
            case CRASHED -> state.sets().update(s.withTrialEnded(true, now));
            case ENDED -> state.sets().update(s.withTrialEnded(false, now));
            default -> {
                return acquitIfTakenOver(s);
            }
        }
        return true;
    }

    /** A node with evidence of its own judges itself. */
    private boolean acquitIfTakenOver(CondemnedSet s) {
        boolean takenOver = s.evidence().isEmpty();
        if (takenOver) {
            state.sets().acquit(s, "acquitted by a hub");
        }
        return takenOver;
    }

    private boolean isFirst(CondemnedSet s) {
        countHubs();
        List<String> up = hubs.get();
        boolean majority = 2 * up.size() > Math.max(mostHubs, mostHubsBefore);
        return majority
                && RendezvousHash.rank(Long.toHexString(s.parts().id()), up, h -> h)
                        .get(0)
                        .equals(self);
    }

    private void log(CondemnedSet s, Outcome outcome, long request) {
        log.log(
                EventCode.PROMPT_TRIAL,
                s.service(),
                "parts",
                s.parts(),
                "request",
                Long.toHexString(request),
                "outcome",
                outcome,
                "crashes",
                s.crashes(),
                "pause_ms",
                s.pauseMs());
    }
}
