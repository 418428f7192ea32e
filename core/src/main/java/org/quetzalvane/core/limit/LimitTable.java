package org.quetzalvane.core.limit;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

import org.quetzalvane.core.fleet.Endpoint;
import org.quetzalvane.core.time.Scheduler;

/**
 * The limits that endpoint instances have named.
 *
 * <p>A lower limit holds at once. A higher one, or none, is believed only from the answer to a request that was sent
 * after the limit in force was last confirmed: another answer may be older, if its connection is slow or its node stood
 * still. A limit ends with its instance. Confined to the event loop.
 */
public final class LimitTable {
    /** Largest number of limits kept; those confirmed least recently are evicted. */
    static final int MAX_LIMITS = 1_000;
    /** Time after which the limit of an endpoint that is not known is removed, ms. */
    static final long GONE_AFTER_MS = 60_000;

    private final Scheduler scheduler;
    private final Map<String, Limit> limits = new LinkedHashMap<>();

    private record Limit(long bornMs, double perSecond, long sentNanos, long confirmedNanos) {}

    public LimitTable(Scheduler scheduler) {
        this.scheduler = scheduler;
    }

    /** Whether the instance has named a limit that is in force. */
    public boolean isLimited(Endpoint e) {
        return !limits.isEmpty() && find(e.id(), e.bornMs()) != null;
    }

    /** Requests per second that the instance takes; {@link EndpointLimit#NONE} without a limit. */
    public double perSecond(String endpoint, long bornMs) {
        Limit l = find(endpoint, bornMs);
        return l == null ? EndpointLimit.NONE : l.perSecond;
    }

    /** Number of limits in force. */
    public int size() {
        return limits.size();
    }

    /**
     * Removes the limits of endpoints that are gone and were confirmed long ago; a limit may be known before its
     * endpoint is.
     *
     * @param isListed whether an endpoint with an id is known
     */
    public void removeGone(Predicate<String> isListed) {
        long oldest = scheduler.nanoTime() - GONE_AFTER_MS * 1_000_000;
        limits.entrySet().removeIf(l -> l.getValue().confirmedNanos - oldest < 0 && !isListed.test(l.getKey()));
    }

    /** Applies what an answer says; returns whether it changes the limit. */
    public boolean apply(EndpointLimit said) {
        long now = scheduler.nanoTime();
        long sentNanos = now - Math.max(0, said.sentAgeMs()) * 1_000_000;
        long confirmedNanos = now - Math.max(0, said.ageMs()) * 1_000_000;
        return apply(said, sentNanos, confirmedNanos);
    }

    /** Applies what an answer that has just arrived says; returns whether it changes the limit. */
    public boolean apply(Endpoint e, double perSecond, long sentNanos) {
        if (limits.isEmpty() && perSecond < 0) {
            return false;
        }
        return apply(new EndpointLimit(e.id(), e.bornMs(), perSecond, 0, 0), sentNanos, scheduler.nanoTime());
    }

    /** The limits in force, for other nodes. */
    public List<EndpointLimit> all() {
        List<EndpointLimit> all = new ArrayList<>(limits.size());
        limits.forEach((id, l) -> all.add(describe(id, l)));
        return all;
    }

    /** The limit of an endpoint for other nodes; without a limit, as ended by an answer that has just arrived. */
    public EndpointLimit describe(String endpoint, long bornMs, long endedBySentNanos) {
        Limit l = find(endpoint, bornMs);
        return l == null
                ? new EndpointLimit(endpoint, bornMs, EndpointLimit.NONE, ageMs(endedBySentNanos), 0)
                : describe(endpoint, l);
    }

    private boolean apply(EndpointLimit said, long sentNanos, long confirmedNanos) {
        Limit known = limits.get(said.endpoint());
        if (known != null && known.bornMs > said.bornMs()) {
            return false;
        }
        if (known == null || known.bornMs < said.bornMs()) {
            limits.remove(said.endpoint());
            if (said.isNamed()) {
                put(said, sentNanos, confirmedNanos);
            }
            return said.isNamed();
        }
        boolean later = sentNanos - known.confirmedNanos >= 0;
        if (!said.isNamed()) {
            return later && limits.remove(said.endpoint()) != null;
        }
        boolean same = said.perSecond() == known.perSecond;
        if (same || said.perSecond() < known.perSecond || later) {
            put(said, Math.max(sentNanos, known.sentNanos), Math.max(confirmedNanos, known.confirmedNanos));
            return !same;
        }
        return false;
    }

    private void put(EndpointLimit said, long sentNanos, long confirmedNanos) {
        limits.remove(said.endpoint());
        limits.put(said.endpoint(), new Limit(said.bornMs(), said.perSecond(), sentNanos, confirmedNanos));
        if (limits.size() > MAX_LIMITS) {
            Iterator<String> oldest = limits.keySet().iterator();
            oldest.next();
            oldest.remove();
        }
    }

    private Limit find(String endpoint, long bornMs) {
        Limit l = limits.get(endpoint);
        return l == null || l.bornMs != bornMs ? null : l;
    }

    private EndpointLimit describe(String endpoint, Limit l) {
        return new EndpointLimit(endpoint, l.bornMs, l.perSecond, ageMs(l.sentNanos), ageMs(l.confirmedNanos));
    }

    private long ageMs(long nanos) {
        return (scheduler.nanoTime() - nanos) / 1_000_000;
    }
}
