package org.quetzalvane.core.team;

import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * Age of the copy that the store came back from, as endpoints that lived through the restore show it: they count the
 * status reports that they write at intervals.
 *
 * <p>Counts that the copy contains were written before the copy was taken, and a report at or after the end of the
 * first listing since the restore was written after the restore. The reports in between take at least the age of the
 * copy. The clocks of this and other hosts play no part. Confined to the event loop.
 */
final class CopyAge {
    /** Largest number of instances whose counts are recorded. */
    static final int MAX_INSTANCES = 16;
    /** Instances that must agree, if so many were recorded: one alone may have been suspended for a while. */
    private static final int MIN_INSTANCES = 2;
    /** Longest interval between two reports relative to the stated one. */
    private static final double LONGEST_INTERVAL_FACTOR = 1.25;

    private static final long NOT_LISTED = -1;

    private final long reportIntervalMs;
    /** The newest report by the id of the endpoint. */
    private final Map<String, Report> newest = new HashMap<>();
    /** Position from which on reports were written after the last restore, or {@link #NOT_LISTED}. */
    private long listedEnd = NOT_LISTED;

    private record Report(ReportCounts.Instance instance, long count, long position) {}

    /**
     * Creates an estimate without reports.
     *
     * @param reportIntervalMs stated interval between two reports of an endpoint, milliseconds
     */
    CopyAge(long reportIntervalMs) {
        this.reportIntervalMs = reportIntervalMs;
    }

    /**
     * Processes an entry of the platform's list.
     *
     * @param count number of reports that the instance has written, by its own count; 0 if it does not state one
     * @param position position of the entry in the list, which rises over restores as well
     */
    void reported(ReportCounts.Instance instance, long count, long position) {
        Report known = newest.get(instance.id());
        if (count > 0 && (known == null || position > known.position)) {
            newest.put(instance.id(), new Report(instance, count, position));
        }
    }

    /** Processes that the entry of an endpoint was removed. */
    void removed(String id) {
        newest.remove(id);
    }

    /** Processes that the whole list was read up to a position, exclusive. */
    void listed(long end) {
        if (listedEnd == NOT_LISTED) {
            listedEnd = end;
        }
    }

    /** Processes that the store came back from a copy. */
    void restored() {
        listedEnd = NOT_LISTED;
    }

    /** Counts to record in an epoch of the store, of the instances that have lived longest. */
    ReportCounts counts(long epoch) {
        Map<ReportCounts.Instance, Long> counts = new LinkedHashMap<>();
        newest.values().stream()
                .sorted(Comparator.comparingLong((Report r) -> r.instance.bornMs())
                        .thenComparing(r -> r.instance.id()))
                .limit(MAX_INSTANCES)
                .forEach(r -> counts.put(r.instance, r.count));
        return new ReportCounts(epoch, counts);
    }

    /** Whether each listed endpoint that counts its reports has written one since the restore. */
    boolean allReported() {
        return listedEnd != NOT_LISTED && newest.values().stream().allMatch(r -> r.position >= listedEnd);
    }

    /**
     * Longest age of the copy, ms, at the time of the last restore; empty while too few endpoints show it.
     *
     * @param inCopy counts that the copy contains
     */
    OptionalLong longestMs(ReportCounts inCopy) {
        long most = 0;
        int instances = 0;
        for (Report r : newest.values()) {
            Long before = inCopy.counts().get(r.instance);
            if (before != null && r.count > before && listedEnd != NOT_LISTED && r.position >= listedEnd) {
                most = Math.max(most, r.count - before);
                instances++;
            }
        }
        if (instances < Math.max(1, Math.min(MIN_INSTANCES, inCopy.counts().size()))) {
            return OptionalLong.empty();
        }
        return OptionalLong.of(Math.round(most * reportIntervalMs * LONGEST_INTERVAL_FACTOR));
    }
}
