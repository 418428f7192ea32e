package org.quetzalvane.core.quarantine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.quetzalvane.core.time.Scheduler;

/**
 * The instances whose connections broke lately, at this node or as reported by others.
 *
 * <p>At most {@link #MAX_INSTANCES} are kept for {@link #RETENTION_MS}; those that condemn are kept as long as they do.
 * Confined to the event loop.
 */
final class CrashEvidence {
    /** Time for which evidence that does not condemn is kept, ms. */
    static final long RETENTION_MS = 60_000;
    /**
     * Age from which an end is judged, ms: reports of all nodes and passes at the same time have arrived. Nodes that
     * judge what they alone have seen condemn parts that many requests have.
     */
    static final long SETTLE_MS = 200;
    /** Largest number of ends of a service that are judged: the newest, and those that condemn. */
    static final int MAX_JUDGED = 64;
    /** Largest number of instances kept; the oldest are evicted. */
    static final int MAX_INSTANCES = 256;

    private final Scheduler scheduler;
    private final Map<Instance, InstanceRecord> records = new LinkedHashMap<>();
    private Set<Instance> pinned = Set.of();

    CrashEvidence(Scheduler scheduler) {
        this.scheduler = scheduler;
    }

    /** One run of an endpoint. */
    record Instance(String endpoint, long bornMs) {
        static Instance of(CrashEnd e) {
            return new Instance(e.endpoint(), e.bornMs());
        }
    }

    /** The record of an instance, or null. */
    InstanceRecord find(Instance i) {
        return records.get(i);
    }

    /**
     * The record to which a break at a time belongs; a new one if there is none or if the instance lived on after the
     * breaks of the former one: if it broke again later, or a response began after.
     *
     * @param beganNanos time at which the latest response began that broke
     */
    InstanceRecord recordFor(String service, Instance i, long breakNanos, long beganNanos) {
        InstanceRecord r = records.get(i);
        boolean livedOn = r != null
                && r.broken() > 0
                && !pinned.contains(i)
                && (breakNanos - r.newestNanos() > InstanceRecord.END_WINDOW_MS * 1_000_000
                        || beganNanos - r.newestNanos() > InstanceRecord.NOTICE_MS * 1_000_000);
        if (r == null || livedOn) {
            records.remove(i);
            r = new InstanceRecord(service, i.endpoint(), i.bornMs());
            records.put(i, r);
            evict();
        }
        return r;
    }

    /** Sets the instances to keep whatever their age. */
    void pin(Set<Instance> instances) {
        pinned = Set.copyOf(instances);
    }

    /** Removes what is too old. */
    void removeExpired() {
        long now = scheduler.nanoTime();
        records.entrySet()
                .removeIf(e ->
                        !pinned.contains(e.getKey()) && now - e.getValue().newestNanos() > RETENTION_MS * 1_000_000);
    }

    int size() {
        return records.size();
    }

    /** Services with evidence. */
    Set<String> services() {
        Set<String> services = new HashSet<>();
        records.values().forEach(r -> services.add(r.service()));
        return services;
    }

    /** Ended instances of a service in order of time, of at least an age in ms. */
    List<CrashEnd> ends(String service, long minAgeMs) {
        long now = scheduler.nanoTime();
        List<CrashEnd> ends = new ArrayList<>();
        for (InstanceRecord r : records.values()) {
            CrashEnd e = r.service().equals(service) ? r.end() : null;
            if (e != null && now - e.endedNanos() >= minAgeMs * 1_000_000) {
                ends.add(e);
            }
        }
        // Not by nanoTime itself, which may overflow; the endpoint makes the order the same on all nodes.
        ends.sort(Comparator.<CrashEnd>comparingLong(e -> e.endedNanos() - now).thenComparing(CrashEnd::endpoint));
        int surplus = ends.size() - MAX_JUDGED;
        for (Iterator<CrashEnd> i = ends.iterator(); surplus > 0 && i.hasNext(); ) {
            if (!pinned.contains(Instance.of(i.next()))) {
                i.remove();
                surplus--;
            }
        }
        return ends;
    }

    /** Newest end at which a request with the part was in its beginning, for parts seen at two ends or more. */
    static Map<Long, Long> repeatedParts(List<CrashEnd> ends) {
        Map<Long, Long> newest = new HashMap<>();
        Set<Long> repeated = new HashSet<>();
        for (CrashEnd e : ends) {
            Set<Long> here = new HashSet<>();
            e.begun().forEach(b -> b.parts().forEach(here::add));
            for (long part : here) {
                if (newest.put(part, e.endedNanos()) != null) {
                    repeated.add(part);
                }
            }
        }
        newest.keySet().retainAll(repeated);
        return newest;
    }

    private void evict() {
        Iterator<Instance> oldest = records.keySet().iterator();
        while (records.size() > MAX_INSTANCES && oldest.hasNext()) {
            if (!pinned.contains(oldest.next())) {
                oldest.remove();
            }
        }
    }
}
