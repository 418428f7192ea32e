package org.quetzalvane.core.team;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.function.LongConsumer;

import org.quetzalvane.core.time.Scheduler;

/**
 * Finds out whether the copy that the store came back from is young enough to hold each version that has begun streams,
 * and lets lookups wait for that. Confined to the event loop.
 */
final class CopyProof {
    /**
     * Longest time for which a lookup waits for the age of a copy, ms: endpoints write their entries again within about
     * 2 s of a restore.
     */
    static final long MAX_WAIT_MS = 2_500;
    /**
     * Longest time until a version that is listed again after a restore is recorded, ms: nodes that start have to
     * obtain their assignments first.
     */
    private static final long MAX_RECORDING_DELAY_MS = 10_000;

    private static final long NEVER = -1;

    private final Scheduler scheduler;
    private final CopyAge age;
    private final long limitMs;
    private final LongConsumer proved;
    /** Counts of status reports in the copy, until it is proved to be young enough; or null. */
    private ReportCounts copiedReports;

    private long foundNanos;
    private long provedNanos = NEVER;
    private final List<Runnable> waiting = new ArrayList<>();

    /**
     * Creates a proof without a copy.
     *
     * @param limitMs age from which a copy proves nothing, milliseconds
     * @param proved receives the longest age of a copy that is younger, milliseconds
     */
    CopyProof(Scheduler scheduler, CopyAge age, long limitMs, LongConsumer proved) {
        this.scheduler = scheduler;
        this.age = age;
        this.limitMs = limitMs;
        this.proved = proved;
    }

    /** Processes that the records are those of a copy, with the counts of reports that it contains. */
    void copyFound(ReportCounts inCopy) {
        if (copiedReports == null && !provedLately()) {
            copiedReports = inCopy;
            foundNanos = scheduler.nanoTime();
            scheduler.schedule(Duration.ofMillis(MAX_WAIT_MS), this::check);
        }
    }

    /** Forgets the copy; lookups that wait go on. */
    void forget() {
        copiedReports = null;
        provedNanos = NEVER;
        endWaiting();
    }

    /** Whether the age of the copy is not known yet but may become known. */
    boolean isPending() {
        return copiedReports != null && scheduler.nanoTime() - foundNanos < MAX_WAIT_MS * 1_000_000;
    }

    /** Runs a lookup once the age is known or cannot become known. */
    void await(Runnable lookup) {
        waiting.add(lookup);
    }

    /** Whether the copy was found to be young enough, and versions listed since may not be recorded yet. */
    boolean provedLately() {
        return provedNanos != NEVER && scheduler.nanoTime() - provedNanos < MAX_RECORDING_DELAY_MS * 1_000_000;
    }

    /** Concludes from the age of the copy once it is known. */
    void check() {
        if (copiedReports == null) {
            return;
        }
        OptionalLong longestMs = age.longestMs(copiedReports);
        // An endpoint that has not reported yet may have started again with another version since the copy was taken.
        boolean confirmed = age.allReported() || !isPending();
        if (confirmed && longestMs.isPresent() && longestMs.getAsLong() < limitMs) {
            copiedReports = null;
            provedNanos = scheduler.nanoTime();
            proved.accept(longestMs.getAsLong());
        }
        if (!isPending()) {
            endWaiting();
        }
    }

    private void endWaiting() {
        List<Runnable> lookups = List.copyOf(waiting);
        waiting.clear();
        lookups.forEach(Runnable::run);
    }
}
