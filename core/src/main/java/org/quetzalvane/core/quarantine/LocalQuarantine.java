package org.quetzalvane.core.quarantine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;

import org.quetzalvane.core.event.StructuredLog;
import org.quetzalvane.core.fleet.Endpoint;
import org.quetzalvane.core.time.Scheduler;

/**
 * The quarantine of one node: what its requests see and what other nodes report, judged together.
 *
 * <p>The judgement runs {@link #JUDGE_DELAY_MS} after new evidence, at most once per {@link #JUDGE_INTERVAL_MS}.
 * Confined to the event loop.
 */
public final class LocalQuarantine implements PromptQuarantine {
    /** Delay of the judgement after new evidence, ms; then the newest end is judged too. */
    static final long JUDGE_DELAY_MS = CrashEvidence.SETTLE_MS + 1;
    /** Shortest interval between judgements, ms. */
    private static final long JUDGE_INTERVAL_MS = 50;
    /** Shortest and longest retry time sent to callers, ms. */
    private static final long MIN_RETRY_AFTER_MS = 1_000;

    private static final long MAX_RETRY_AFTER_MS = 60_000;

    private final Scheduler scheduler;
    private final Sharing sharing;
    private final QuarantineState state;
    private final QuarantineTrials trials;
    private final Set<Watcher> watchers = new LinkedHashSet<>();
    private final Map<Long, Endpoint> brokenTrials = new HashMap<>();
    private Set<Long> announced = new HashSet<>();
    /** Time of the latest judgement that is scheduled. */
    private long judgeNanos;

    /** Sends what other nodes should know. */
    public interface Sharing {
        /** There are reports to send. */
        void reportsReady();

        /** There are clearances to send; at once if urgent, else unless another node sends them first. */
        void clearancesReady(boolean urgent);

        /** A trial of this node went on, or a set was acquitted. */
        void trial(long set, QuarantineTrials.Outcome outcome);
    }

    private record Watcher(PartSet parts, Runnable condemned) {}

    /**
     * Creates the quarantine of a node.
     *
     * @param self address of this node for peers
     * @param hubs addresses of the hubs that are up, with this node if it is one
     */
    public LocalQuarantine(
            Scheduler scheduler, StructuredLog log, String self, Supplier<List<String>> hubs, Sharing sharing) {
        this.scheduler = scheduler;
        this.sharing = sharing;
        this.state = new QuarantineState(scheduler, log, self);
        this.judgeNanos = scheduler.nanoTime();
        this.trials = new QuarantineTrials(scheduler, log, self, state, hubs);
    }

    /** The condemned sets. */
    public List<CondemnedSet> condemned() {
        return List.copyOf(state.condemned());
    }

    /** Numbers of instances in evidence and of passes kept. */
    List<Integer> sizes() {
        return state.sizes();
    }

    @Override
    public Verdict check(RequestContent content) {
        long request = content.request();
        List<CondemnedSet> matching = state.matching(content.parts());
        if (matching.isEmpty()) {
            state.recordSent(request);
            return Verdict.ADMIT;
        }
        CondemnedSet s = matching.get(0);
        if (matching.size() == 1 && trials.tryBegin(s, request)) {
            state.recordSent(request);
            sharing.trial(s.parts().id(), QuarantineTrials.Outcome.BEGUN);
            return Verdict.TRIAL;
        }
        return refusal(s);
    }

    @Override
    public void recordPastBeginning(RequestContent content) {
        long request = content.request();
        endTrial(request, QuarantineTrials.Outcome.PASSED);
        boolean urgent = state.recordPass(content.service(), content.parts(), request);
        if (urgent || state.needsSharing(content.service(), content.parts())) {
            sharing.clearancesReady(urgent);
        }
        if (urgent) {
            scheduleJudgement();
            notifyWatchers();
        }
    }

    @Override
    public void recordBroken(Endpoint endpoint, RequestContent content, long beginningMs, boolean withinHead) {
        long request = content.request();
        state.recordBroken(endpoint, content.parts(), request, beginningMs, withinHead);
        sharing.reportsReady();
        scheduleJudgement();
        if (trials.onTrial(request) != null && brokenTrials.putIfAbsent(request, endpoint) == null) {
            scheduler.schedule(
                    Duration.ofMillis(InstanceRecord.END_WINDOW_MS), () -> endBrokenTrial(request, endpoint));
        }
    }

    @Override
    public void recordUnreachable(Endpoint endpoint) {
        if (state.recordRefused(endpoint)) {
            sharing.reportsReady();
            scheduleJudgement();
        }
    }

    @Override
    public Registration watch(RequestContent content, Runnable condemned) {
        Watcher w = new Watcher(content.parts(), condemned);
        watchers.add(w);
        return () -> watchers.remove(w);
    }

    /** Applies what another node has seen; returns whether it is news. */
    public boolean applyReport(String from, InstanceReport report) {
        boolean news = state.applyReport(from, report);
        if (state.hasReports()) {
            sharing.reportsReady();
        }
        if (news) {
            scheduleJudgement();
        }
        return news;
    }

    /** Applies a pass at another node; returns whether it is news. */
    public boolean applyClearance(Clearance c) {
        boolean news = state.applyClearance(c);
        if (news) {
            scheduleJudgement();
            notifyWatchers();
        }
        return news;
    }

    /** Applies how a trial at another node went on; returns whether it is news. */
    public boolean applyTrial(long set, QuarantineTrials.Outcome outcome) {
        return trials.applyReported(set, outcome);
    }

    /** Takes over the judgement of another node. */
    public void adopt(Condemnation c) {
        long now = scheduler.nanoTime();
        state.sets()
                .adopt(new CondemnedSet(
                        c.service(),
                        PartSet.ofHashes(c.parts()),
                        List.of(),
                        c.crashes(),
                        now - c.ageMs() * 1_000_000,
                        now - c.lastCrashAgeMs() * 1_000_000,
                        Math.min(CondemnedSet.MAX_PAUSE_MS, c.pauseMs()),
                        now + Math.min(CondemnedSet.MAX_PAUSE_MS, c.nextTrialMs()) * 1_000_000,
                        now + Math.min(CondemnedSet.TRIAL_TIMEOUT_MS, c.trialLeftMs()) * 1_000_000));
        notifyWatchers();
    }

    /** Id of the set of a condemnation. */
    public static long setId(Condemnation c) {
        return PartSet.ofHashes(c.parts()).id();
    }

    /** Whether a condemned set was lifted here after it was condemned. */
    public boolean wasLifted(Condemnation c) {
        return state.sets().liftedSince(setId(c), scheduler.nanoTime() - c.ageMs() * 1_000_000);
    }

    /** What is condemned, for other nodes. */
    public List<Condemnation> condemnations() {
        long now = scheduler.nanoTime();
        return state.condemned().stream()
                .map(s -> new Condemnation(
                        s.service(),
                        s.parts().hashes(),
                        s.crashes(),
                        (now - s.sinceNanos()) / 1_000_000,
                        (now - s.lastCrashNanos()) / 1_000_000,
                        s.pauseMs(),
                        (s.nextTrialNanos() - now) / 1_000_000,
                        (s.trialUntilNanos() - now) / 1_000_000))
                .toList();
    }

    /** What this node has seen since the last call. */
    public List<InstanceReport> takeReports() {
        return state.takeReports();
    }

    /** Passes that other nodes should know and do not know yet. */
    public List<Clearance> takeClearances() {
        return state.takeClearances();
    }

    /** Ends trials without a result and counts the hubs; called regularly. */
    public void tick() {
        trials.countHubs();
        trials.expired().forEach(r -> endTrial(r, QuarantineTrials.Outcome.ENDED));
    }

    private void endBrokenTrial(long request, Endpoint endpoint) {
        brokenTrials.remove(request);
        endTrial(request, state.hasEnded(endpoint) ? QuarantineTrials.Outcome.CRASHED : QuarantineTrials.Outcome.ENDED);
    }

    private void endTrial(long request, QuarantineTrials.Outcome outcome) {
        CondemnedSet s = trials.onTrial(request);
        trials.end(request, outcome);
        if (s != null) {
            sharing.trial(s.parts().id(), outcome);
        }
    }

    private void scheduleJudgement() {
        long now = scheduler.nanoTime();
        long due = now + JUDGE_DELAY_MS * 1_000_000;
        if (due - judgeNanos > 0) {
            long earliest = judgeNanos + JUDGE_INTERVAL_MS * 1_000_000;
            judgeNanos = earliest - due > 0 ? earliest : due;
            scheduler.schedule(Duration.ofNanos(judgeNanos - now), this::judge);
        }
    }

    private void judge() {
        List<CondemnedSet> before = condemned();
        state.judge();
        for (CondemnedSet s : before) {
            boolean gone = state.condemned().stream().noneMatch(k -> k.parts().isWithin(s.parts()));
            if (gone) {
                sharing.trial(s.parts().id(), QuarantineTrials.Outcome.ACQUITTED);
            }
        }
        if (state.hasClearances()) {
            sharing.clearancesReady(false);
        }
        notifyWatchers();
    }

    /** Tells the requests that have all parts of a set that is condemned since the last call. */
    private void notifyWatchers() {
        Set<Long> ids = new HashSet<>();
        List<CondemnedSet> added = new ArrayList<>();
        for (CondemnedSet s : state.condemned()) {
            ids.add(s.parts().id());
            if (!announced.contains(s.parts().id())) {
                added.add(s);
            }
        }
        announced = ids;
        if (added.isEmpty()) {
            return;
        }
        for (Watcher w : List.copyOf(watchers)) {
            boolean matches = added.stream().anyMatch(s -> s.parts().isWithin(w.parts));
            if (matches && watchers.remove(w)) {
                w.condemned.run();
            }
        }
    }

    private Verdict refusal(CondemnedSet s) {
        long now = scheduler.nanoTime();
        long untilTrialMs = (s.nextTrialNanos() - now) / 1_000_000;
        long retryAfterMs = Math.max(MIN_RETRY_AFTER_MS, Math.min(MAX_RETRY_AFTER_MS, untilTrialMs));
        String evidence = "parts=" + s.parts() + " crashes=" + s.crashes() + " condemned_ms="
                + (now - s.sinceNanos()) / 1_000_000;
        return Verdict.refuse(retryAfterMs, evidence);
    }
}
