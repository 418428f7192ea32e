package org.quetzalvane.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

import org.quetzalvane.core.choice.RetryBudgetJudge;
import org.quetzalvane.platform.standin.SecondCopy;
import org.quetzalvane.platform.standin.StreamingEngineStandIn.Behaviour;
import org.quetzalvane.platform.standin.StreamingEngineStandIn.End;
import org.quetzalvane.platform.standin.StreamingEngineStandIn.Identity;

/**
 * Judges the repeats that arrive at engines by the platform's rules: their number in each window, the engines that one
 * attempt of a caller runs on, and the time that they are handed. Thread-safe.
 */
final class RepeatJudge {
    private static final String SERVICE = "engines";
    /** Attempts that may run on too many engines. */
    private static final int RUNS_ALLOWED = 3;
    /** Repeats that may be handed too much time; more may if they are at most a fifth of the late ones. */
    private static final int OVERTIME_ALLOWED = 20;

    private static final int OVERTIME_PART = 5;
    private static final long SLACK_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private final int maxAttempts;
    private final RetryBudgetJudge budget =
            new RetryBudgetJudge(TestSettings.RETRY_RATIO, TestSettings.RETRY_EXTRA, TestSettings.RETRY_WINDOW_MS);
    private final Map<String, Attempt> attempts = new ConcurrentHashMap<>();
    private final Set<Identity> ended = ConcurrentHashMap.newKeySet();

    /** What is known of one attempt of a caller. Guarded by itself. */
    private static final class Attempt {
        private final Set<Identity> ranOn = ConcurrentHashMap.newKeySet();
        private final long callerEndNanos;
        private long firstNanos;
        private long firstEndNanos;
        private int late;
        private int overtime;

        Attempt(long callerEndNanos) {
            this.callerEndNanos = callerEndNanos;
        }

        synchronized void arrived(long nanos, long leftMs) {
            long end = nanos + TimeUnit.MILLISECONDS.toNanos(leftMs);
            if (firstNanos == 0) {
                firstNanos = nanos;
                firstEndNanos = end;
            } else if (nanos - firstNanos > SLACK_NANOS) {
                late++;
                overtime += end - Math.max(firstEndNanos, callerEndNanos) > SLACK_NANOS ? 1 : 0;
            }
        }

        synchronized int late() {
            return late;
        }

        synchronized int overtime() {
            return overtime;
        }
    }

    /**
     * Creates a judge.
     *
     * @param maxAttempts engines that one attempt of a caller may run on
     */
    RepeatJudge(int maxAttempts) {
        this.maxAttempts = maxAttempts;
    }

    /** A caller sends an attempt with the given time, ms. */
    void requested(String attempt, long leftMs) {
        long now = System.nanoTime();
        attempts.put(attempt, new Attempt(now + TimeUnit.MILLISECONDS.toNanos(leftMs)));
        budget.requested(SERVICE, now);
    }

    /** The engine crashes or is taken away; its runs do not count against the attempts of a route. */
    void ended(Identity engine) {
        ended.add(engine);
    }

    /** The same behaviour of an engine, observed by this judge. */
    Behaviour observing(Identity engine, Behaviour behaviour) {
        return new Behaviour() {
            @Override
            public void arrived(String attempt, long leftMs) {
                long now = System.nanoTime();
                budget.arrived(SERVICE, attempt, now);
                attempts.get(attempt).arrived(now, leftMs);
            }

            @Override
            public End endOf(String attempt, int firstEvent) {
                attempts.get(attempt).ranOn.add(engine);
                return behaviour.endOf(attempt, firstEvent);
            }

            @Override
            public SecondCopy secondCopyOf(String attempt, int length) {
                return behaviour.secondCopyOf(attempt, length);
            }

            @Override
            public void answers(String attempt, int status) {
                behaviour.answers(attempt, status);
            }
        };
    }

    /** Ways in which the rules were broken, as text. */
    List<String> findings() {
        List<String> found = new ArrayList<>();
        budget.worst().filter(RetryBudgetJudge.Window::exceeded).ifPresent(w -> found.add(w.toString()));
        long tooMany = attempts.values().stream().filter(this::ranOnTooMany).count();
        if (tooMany > RUNS_ALLOWED) {
            found.add(tooMany + " attempts ran on more than " + maxAttempts + " engines");
        }
        if (overtime() > OVERTIME_ALLOWED && overtime() * OVERTIME_PART > late()) {
            found.add(overtime() + " of " + late() + " late repeats were handed too much time");
        }
        return found;
    }

    /** Numbers for a report. */
    String summary() {
        return "repeats " + budget.repeats() + ", worst window "
                + budget.worst()
                        .map(w -> w.repeats() + " of " + Math.round(w.allowed()))
                        .orElse("none")
                + ", late repeats " + late() + ", handed too much time " + overtime() + ", on too many engines "
                + attempts.values().stream().filter(this::ranOnTooMany).count();
    }

    private boolean ranOnTooMany(Attempt a) {
        return a.ranOn.stream().filter(e -> !ended.contains(e)).count() > maxAttempts;
    }

    private long late() {
        return attempts.values().stream().mapToLong(Attempt::late).sum();
    }

    private long overtime() {
        return attempts.values().stream().mapToLong(Attempt::overtime).sum();
    }
}
