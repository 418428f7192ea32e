package org.quetzalvane.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/**
 * Judges the work for callers that have closed their connections, from what callers and endpoints saw. Times are those
 * of {@link System#nanoTime}. Thread-safe.
 */
final class GoneJudge {
    /** Time after a close within which a request may still be passed on, or be worked on, ms. */
    static final long BOUND_MS = 500;
    /** Requests that may be passed on later. */
    static final int LATE_ALLOWED = 3;
    /** Share of the requests that last longer which may still be worked on. */
    static final double WORKED_ON_ALLOWED = 0.25;

    private static final long BOUND_NANOS = TimeUnit.MILLISECONDS.toNanos(BOUND_MS);

    private final Map<String, Departure> departures = new ConcurrentHashMap<>();
    private final Map<String, Run> runs = new ConcurrentHashMap<>();
    private final List<HoldUp> holdUps = new CopyOnWriteArrayList<>();

    private record Departure(String node, long nanos) {}

    private record HoldUp(String node, long fromNanos, long toNanos) {}

    /** The run of a request at an endpoint, until it ended or would end. */
    private record Run(long fromNanos, long toNanos, long wouldEndNanos) {}

    /** A caller closed the connection of a request that is not answered. */
    void left(String id, String node, long nanos) {
        departures.put(id, new Departure(node, nanos));
    }

    /** A request arrived at an endpoint, where it takes a time. */
    void began(String id, long nanos, long lengthMs) {
        runs.put(id, new Run(nanos, Long.MAX_VALUE, nanos + TimeUnit.MILLISECONDS.toNanos(lengthMs)));
    }

    /** The run of a request ended or was cancelled; the first report counts. */
    void ended(String id, long nanos) {
        runs.computeIfPresent(
                id, (i, run) -> new Run(run.fromNanos(), Math.min(nanos, run.toNanos()), run.wouldEndNanos()));
    }

    /** A node was held up: it did nothing, while its host received what was sent to it. */
    void heldUp(String node, long fromNanos, long toNanos) {
        holdUps.add(new HoldUp(node, fromNanos, toNanos));
    }

    /** Number of callers that left. */
    int departed() {
        return departures.size();
    }

    /** Requests that arrived at an endpoint longer than the bound after their callers had left, as text. */
    List<String> passedOnLate() {
        List<String> found = new ArrayList<>();
        departures.forEach((id, left) -> {
            Run run = runs.get(id);
            if (run != null && run.fromNanos() - left.nanos() > BOUND_NANOS) {
                long lateMs = TimeUnit.NANOSECONDS.toMillis(run.fromNanos() - left.nanos());
                found.add(id + " passed on by " + left.node() + " " + lateMs + " ms after its caller had left");
            }
        });
        return found;
    }

    /**
     * Runs that last past the bound after their callers had left, and whether they were still worked on then; those of
     * nodes that were held up meanwhile are left out.
     */
    Map<String, Boolean> longRuns() {
        Map<String, Boolean> found = new ConcurrentHashMap<>();
        departures.forEach((id, left) -> {
            Run run = runs.get(id);
            long bound = left.nanos() + BOUND_NANOS;
            boolean judged = run != null && run.fromNanos() - left.nanos() <= 0 && run.wouldEndNanos() - bound > 0;
            if (judged && !isHeldUp(left.node(), left.nanos(), bound)) {
                found.put(id, run.toNanos() == Long.MAX_VALUE || run.toNanos() - bound > 0);
            }
        });
        return found;
    }

    /** Number of long runs that were still worked on. */
    long workedOn() {
        return longRuns().values().stream().filter(working -> working).count();
    }

    private boolean isHeldUp(String node, long fromNanos, long toNanos) {
        return holdUps.stream()
                .anyMatch(h -> h.node().equals(node) && h.fromNanos() - toNanos < 0 && fromNanos - h.toNanos() < 0);
    }
}
