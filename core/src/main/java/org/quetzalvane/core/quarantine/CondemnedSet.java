package org.quetzalvane.core.quarantine;

import java.util.List;
import java.util.stream.Collectors;

/**
 * A condemned set of prompt parts with the state of its trials. Immutable.
 *
 * @param service service of the parts
 * @param parts a request is refused if it has all of them
 * @param evidence counted crashes; empty if another node's judgement was taken over
 * @param crashes number of counted crashes
 * @param sinceNanos time of the judgement
 * @param lastCrashNanos time of the last crash under the parts
 * @param pauseMs pause between trials, ms
 * @param nextTrialNanos time from which a trial is due
 * @param trialUntilNanos time until which the trial in progress may last; not after now if there is none
 */
public record CondemnedSet(
        String service,
        PartSet parts,
        List<CrashEnd> evidence,
        int crashes,
        long sinceNanos,
        long lastCrashNanos,
        long pauseMs,
        long nextTrialNanos,
        long trialUntilNanos) {
    /** Pause before the first trial, ms. */
    public static final long FIRST_PAUSE_MS = 60_000;
    /** Longest pause between trials, ms: 6 hours. */
    public static final long MAX_PAUSE_MS = 21_600_000;
    /** Factor by which a trial under which an instance ends lengthens the pause. */
    static final int PAUSE_FACTOR = 4;
    /** Longest time of a trial without a result, ms. */
    static final long TRIAL_TIMEOUT_MS = 60_000;
    /** Largest number of crashes kept as evidence. */
    static final int MAX_EVIDENCE = 16;

    /** A set that is condemned now. */
    static CondemnedSet of(String service, CrashJudge.Finding f, long now) {
        return new CondemnedSet(
                        service,
                        f.parts(),
                        List.of(),
                        0,
                        now,
                        now,
                        FIRST_PAUSE_MS,
                        now + FIRST_PAUSE_MS * 1_000_000,
                        now)
                .withFinding(f);
    }

    CondemnedSet withFinding(CrashJudge.Finding f) {
        List<CrashEnd> counted = f.counted();
        List<CrashEnd> kept = counted.subList(0, Math.min(MAX_EVIDENCE, counted.size())).stream()
                .toList();
        long last = counted.get(counted.size() - 1).endedNanos();
        return new CondemnedSet(
                service,
                f.parts(),
                kept,
                Math.max(crashes, counted.size()),
                sinceNanos,
                last,
                pauseMs,
                nextTrialNanos,
                trialUntilNanos);
    }

    CondemnedSet withParts(PartSet p) {
        return new CondemnedSet(
                service, p, evidence, crashes, sinceNanos, lastCrashNanos, pauseMs, nextTrialNanos, trialUntilNanos);
    }

    /** This set with a trial that begins now. */
    CondemnedSet withTrialBegun(long now) {
        long until = now + TRIAL_TIMEOUT_MS * 1_000_000;
        return withTrial(pauseMs, until + pauseMs * 1_000_000, until);
    }

    /** This set with a trial that ended now. */
    CondemnedSet withTrialEnded(boolean crashed, long now) {
        long pause = crashed ? Math.min(MAX_PAUSE_MS, pauseMs * PAUSE_FACTOR) : pauseMs;
        return withTrial(pause, now + pause * 1_000_000, now);
    }

    private CondemnedSet withTrial(long pause, long next, long until) {
        return new CondemnedSet(service, parts, evidence, crashes, sinceNanos, lastCrashNanos, pause, next, until);
    }

    /** This set with the later times of both, so that no trial begins early. */
    CondemnedSet mergedWith(CondemnedSet o) {
        return new CondemnedSet(
                service,
                parts,
                evidence,
                Math.max(crashes, o.crashes),
                sinceNanos,
                later(lastCrashNanos, o.lastCrashNanos),
                Math.max(pauseMs, o.pauseMs),
                later(nextTrialNanos, o.nextTrialNanos),
                later(trialUntilNanos, o.trialUntilNanos));
    }

    private static long later(long a, long b) {
        return a - b > 0 ? a : b;
    }

    /** The counted crashes for the log: endpoint, hash of the youngest request with the parts, its age in ms. */
    String describeEvidence() {
        return evidence.stream()
                .map(e -> e.endpoint() + "@" + e.bornMs()
                        + e.begun().stream()
                                .filter(b -> parts.isWithin(b.parts()))
                                .findFirst()
                                .map(b -> ":" + Long.toHexString(b.request()) + ":" + b.ageMs())
                                .orElse(""))
                .collect(Collectors.joining(" "));
    }

    boolean trialDue(long now) {
        return now - nextTrialNanos >= 0 && now - trialUntilNanos >= 0;
    }
}
