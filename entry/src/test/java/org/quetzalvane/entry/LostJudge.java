package org.quetzalvane.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import java.util.function.Predicate;

/**
 * Judges requests whose connections ended without a complete response, from what callers and endpoints saw and from
 * what was done to the nodes. Endpoints are assumed to be sound all the while. Thread-safe.
 */
final class LostJudge {
    /** Requests that a calm node may lose in a day. */
    static final int CALM_ALLOWED = 3;

    /** Time after an unplanned disturbance of a node for which it is excused, ms. */
    static final long STABILITY_WINDOW_MS = 3_000;
    /** Time within which a request may cross the close of its connection, ms. */
    static final long LOSS_SLACK_MS = 200;

    private static final long AFTER_GRACE_MS = 1_000;
    private static final long LATE_AFTER_STOP_MS = 3_000;

    private final long graceMs;
    private final List<Span> spans = new CopyOnWriteArrayList<>();
    private final List<Outcome> outcomes = new CopyOnWriteArrayList<>();
    private final Set<String> passedOn = ConcurrentHashMap.newKeySet();

    /** What is done to a node. */
    enum Kind {
        /** A freeze, or a kill until the node is ready again. */
        UNPLANNED,
        /** From SIGTERM to the end of the process. */
        STOP
    }

    /**
     * What a caller saw of a request.
     *
     * @param id id of the request
     * @param node name of the node that it was sent to
     * @param path its path
     * @param sentNanos time at which its last byte was sent
     * @param endNanos time at which the response was complete or the connection ended
     * @param status status of the response; 0 if none began
     * @param complete whether the response was complete
     */
    record Outcome(String id, String node, String path, long sentNanos, long endNanos, int status, boolean complete) {
        long elapsedMs() {
            return TimeUnit.NANOSECONDS.toMillis(endNanos - sentNanos);
        }
    }

    /** Something that is done to a node; open while {@code endNanos} is 0. */
    private static final class Span {
        private final String node;
        private final Kind kind;
        private final long beginNanos;
        private volatile long endNanos;

        Span(String node, Kind kind, long beginNanos) {
            this.node = node;
            this.kind = kind;
            this.beginNanos = beginNanos;
        }

        boolean overlaps(long fromNanos, long toNanos, long afterwardsMs) {
            return toNanos - beginNanos >= 0
                    && (endNanos == 0 || fromNanos - endNanos < TimeUnit.MILLISECONDS.toNanos(afterwardsMs));
        }
    }

    /** Creates a judge of nodes with a grace period, ms. */
    LostJudge(long graceMs) {
        this.graceMs = graceMs;
    }

    /** Something begins to be done to a node; the result ends it at the given time. */
    LongConsumer begin(String node, Kind kind, long nanos) {
        Span s = new Span(node, kind, nanos);
        spans.add(s);
        return end -> s.endNanos = end;
    }

    /** An endpoint received a request. */
    void passedOn(String id) {
        passedOn.add(id);
    }

    void add(Outcome o) {
        outcomes.add(o);
    }

    /** Number of requests with the given statuses, for a report. */
    long count(int fromStatus, int toStatus) {
        return outcomes.stream()
                .filter(o -> o.complete() && o.status() >= fromStatus && o.status() <= toStatus)
                .count();
    }

    /** Number of requests. */
    int count() {
        return outcomes.size();
    }

    /** Requests that nodes lost that were neither disturbed nor stopped. */
    List<String> lostInCalm(long timeoutMs) {
        return lost(this::inCalm, timeoutMs);
    }

    /** Requests that nodes lost that were stopped and not disturbed otherwise. */
    List<String> lostInStop(long timeoutMs) {
        return lost(this::inStop, timeoutMs);
    }

    /** Number of requests to nodes that were neither disturbed nor stopped. */
    long judgedInCalm() {
        return outcomes.stream().filter(this::inCalm).count();
    }

    /** Number of requests to nodes that were stopped and not disturbed otherwise. */
    long judgedInStop() {
        return outcomes.stream().filter(this::inStop).count();
    }

    /** Requests that ended without a complete response, whatever was done to their nodes. */
    long incomplete() {
        return outcomes.stream().filter(o -> !o.complete()).count();
    }

    private List<String> lost(Predicate<Outcome> judged, long timeoutMs) {
        List<String> found = new ArrayList<>();
        for (Outcome o : outcomes) {
            boolean taken = passedOn.contains(o.id()) || o.elapsedMs() > LOSS_SLACK_MS;
            if (!o.complete() && taken && o.elapsedMs() < timeoutMs && judged.test(o)) {
                found.add(text(o));
            }
        }
        return found;
    }

    private boolean inCalm(Outcome o) {
        return undisturbed(o) && stop(o) == null;
    }

    private boolean inStop(Outcome o) {
        return undisturbed(o) && stop(o) != null && !excused(o, stop(o));
    }

    private boolean undisturbed(Outcome o) {
        return spans.stream()
                .filter(s -> s.node.equals(o.node()) && s.kind == Kind.UNPLANNED)
                .noneMatch(s -> s.overlaps(o.sentNanos(), o.endNanos(), STABILITY_WINDOW_MS));
    }

    private Span stop(Outcome o) {
        return spans.stream()
                .filter(s -> s.node.equals(o.node()) && s.kind == Kind.STOP)
                .filter(s -> s.overlaps(o.sentNanos(), o.endNanos(), 0))
                .findFirst()
                .orElse(null);
    }

    /** Whether a request still ran in the last sixth of the grace period, or ended after it. */
    private boolean excused(Outcome o, Span stop) {
        long sinceMs = TimeUnit.NANOSECONDS.toMillis(o.endNanos() - stop.beginNanos);
        long sentMs = TimeUnit.NANOSECONDS.toMillis(o.sentNanos() - stop.beginNanos);
        boolean lastSixth = passedOn.contains(o.id()) && sinceMs >= graceMs * 5 / 6 && sentMs <= LATE_AFTER_STOP_MS;
        return lastSixth || sinceMs > graceMs + AFTER_GRACE_MS;
    }

    private String text(Outcome o) {
        Span stop = stop(o);
        String since = stop == null
                ? ""
                : ", sent " + TimeUnit.NANOSECONDS.toMillis(o.sentNanos() - stop.beginNanos) + " ms and ended "
                        + TimeUnit.NANOSECONDS.toMillis(o.endNanos() - stop.beginNanos) + " ms after SIGTERM";
        return o.id() + " to " + o.node() + " " + o.path() + ", status " + o.status() + ", ended after " + o.elapsedMs()
                + " ms, " + (passedOn.contains(o.id()) ? "passed on" : "not passed on") + since;
    }
}
