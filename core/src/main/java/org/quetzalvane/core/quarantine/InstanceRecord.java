package org.quetzalvane.core.quarantine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What the nodes have seen of one endpoint instance whose connections broke.
 *
 * <p>The instance counts as ended once two attempts broke within {@link #BREAK_WINDOW_MS} over all nodes, or one did
 * and a connection was refused within {@link #END_WINDOW_MS}. What a node reports is cumulative, so receiving a report
 * twice changes nothing. Confined to the event loop.
 */
final class InstanceRecord {
    /** Time within which the connections of an instance that ends break at all nodes, ms; 6 ms was observed. */
    static final long BREAK_WINDOW_MS = 200;
    /** Time after its end within which nodes notice it, ms; a later break shows that the instance lived on. */
    static final long END_WINDOW_MS = 3_000;
    /** Time after a break from which a response that begins shows that the instance lives, ms. */
    static final long NOTICE_MS = 50;
    /** Largest number of begun requests kept: the youngest, of which one crashed the instance. */
    static final int MAX_BEGUN = 32;
    /** Largest number of nodes whose breaks are kept; two suffice. */
    private static final int MAX_NODES = 16;

    private final String service;
    private final String endpoint;
    private final long bornMs;
    private final Map<String, Break> breaks = new HashMap<>();
    private final Map<Long, CrashEnd.Begun> begun = new HashMap<>();
    private long refusedNanos;
    private boolean refused;
    private CrashEnd end;
    private boolean changed = true;

    InstanceRecord(String service, String endpoint, long bornMs) {
        this.service = service;
        this.endpoint = endpoint;
        this.bornMs = bornMs;
    }

    /** Attempts that broke at one node within the window, and when the first of them did. */
    record Break(int count, long nanos) {}

    String service() {
        return service;
    }

    String endpoint() {
        return endpoint;
    }

    long bornMs() {
        return bornMs;
    }

    /** What a node has reported, or null. */
    Break brokenAt(String node) {
        return breaks.get(node);
    }

    int broken() {
        return breaks.values().stream().mapToInt(Break::count).sum();
    }

    boolean isRefused() {
        return refused;
    }

    /** Counts an attempt that broke at this node now; attempts outside the window of the former ones replace them. */
    void addOwnBreak(String self, long now) {
        Break old = breaks.get(self);
        changed = true;
        boolean joins = old != null && now - old.nanos <= BREAK_WINDOW_MS * 1_000_000;
        breaks.put(self, joins ? new Break(old.count + 1, old.nanos) : new Break(1, now));
    }

    /** Applies what another node reports; returns whether it is news. */
    boolean addReportedBreak(String node, int count, long nanos) {
        Break old = breaks.get(node);
        boolean sameBreak = old != null && Math.abs(nanos - old.nanos) <= BREAK_WINDOW_MS * 1_000_000;
        if (count <= 0 || sameBreak && old.count >= count || old == null && breaks.size() >= MAX_NODES) {
            return false;
        }
        changed = true;
        breaks.put(node, new Break(count, sameBreak ? old.nanos : nanos));
        return true;
    }

    /** Records that a connection was refused; returns whether it is news. */
    boolean addRefusal(long nanos) {
        boolean news = !refused || nanos - refusedNanos > END_WINDOW_MS * 1_000_000;
        if (news) {
            changed = true;
            refused = true;
            refusedNanos = nanos;
        }
        return news;
    }

    /** Adds a begun request; returns whether it is news. */
    boolean addBegun(CrashEnd.Begun b) {
        if (b.parts().isEmpty() || begun.containsKey(b.request())) {
            return false;
        }
        changed = true;
        begun.put(b.request(), b);
        if (begun.size() <= MAX_BEGUN) {
            return true;
        }
        CrashEnd.Begun oldest = begun.values().stream()
                .max(Comparator.comparingLong(CrashEnd.Begun::ageMs).thenComparingLong(CrashEnd.Begun::request))
                .orElseThrow();
        begun.remove(oldest.request());
        return oldest != b;
    }

    /** Time of the newest break, or of the refusal if there is none. */
    long newestNanos() {
        return breaks.values().stream()
                .map(Break::nanos)
                .max((a, b) -> Long.compare(a - b, 0))
                .orElse(refusedNanos);
    }

    /** The end of the instance, or null if it does not count as ended. */
    CrashEnd end() {
        if (changed) {
            end = findEnd();
            changed = false;
        }
        return end;
    }

    private CrashEnd findEnd() {
        List<Break> sorted = new ArrayList<>(breaks.values());
        sorted.sort((a, b) -> Long.compare(a.nanos - b.nanos, 0));
        for (Break first : sorted) {
            long count = sorted.stream()
                    .filter(b -> within(b.nanos - first.nanos, BREAK_WINDOW_MS))
                    .mapToInt(Break::count)
                    .sum();
            boolean confirmed = refused && Math.abs(refusedNanos - first.nanos) <= END_WINDOW_MS * 1_000_000;
            if (count >= 2 || confirmed) {
                return new CrashEnd(endpoint, bornMs, first.nanos, begunBy(first.nanos));
            }
        }
        return null;
    }

    private List<CrashEnd.Begun> begunBy(long endNanos) {
        return begun.values().stream()
                .filter(b -> beganBefore(endNanos, b)
                        && within(b.beganNanos() + b.ageMs() * 1_000_000 - endNanos + 50_000_000, END_WINDOW_MS))
                .sorted(Comparator.comparingLong(CrashEnd.Begun::ageMs).thenComparingLong(CrashEnd.Begun::request))
                .toList();
    }

    /** A response that broke within its head began at its end, which other nodes may have noticed a little earlier. */
    private static boolean beganBefore(long endNanos, CrashEnd.Begun b) {
        return b.beganNanos() - endNanos <= (b.withinHead() ? NOTICE_MS * 1_000_000 : 0);
    }

    private static boolean within(long nanos, long ms) {
        return nanos >= 0 && nanos <= ms * 1_000_000;
    }
}
