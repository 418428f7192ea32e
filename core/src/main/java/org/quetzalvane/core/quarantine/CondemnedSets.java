package org.quetzalvane.core.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.quetzalvane.core.event.EventCode;
import org.quetzalvane.core.event.StructuredLog;
import org.quetzalvane.core.time.Scheduler;

/**
 * The condemned sets of prompt parts of all services, at most {@link #MAX_SETS}.
 *
 * <p>No set contains another one. A set that was lifted is not taken over again from a node that has not heard of it.
 * Confined to the event loop.
 */
final class CondemnedSets {
    /** Largest number of condemned sets, and of lifted ones remembered. */
    static final int MAX_SETS = 32;

    private final Scheduler scheduler;
    private final StructuredLog log;
    private final Map<Long, CondemnedSet> sets = new LinkedHashMap<>();
    private final Map<Long, Long> liftedNanos = new LinkedHashMap<>();

    CondemnedSets(Scheduler scheduler, StructuredLog log) {
        this.scheduler = scheduler;
        this.log = log;
    }

    Collection<CondemnedSet> all() {
        return List.copyOf(sets.values());
    }

    List<CondemnedSet> of(String service) {
        return sets.values().stream().filter(s -> s.service().equals(service)).toList();
    }

    CondemnedSet find(long id) {
        return sets.get(id);
    }

    /** The sets of which a request has all parts. */
    List<CondemnedSet> matching(PartSet parts) {
        return sets.isEmpty()
                ? List.of()
                : sets.values().stream().filter(s -> s.parts().isWithin(parts)).toList();
    }

    boolean isEmpty() {
        return sets.isEmpty();
    }

    /** Instances that condemn. */
    Set<CrashEvidence.Instance> evidence() {
        Set<CrashEvidence.Instance> all = new HashSet<>();
        sets.values().forEach(s -> s.evidence().forEach(e -> all.add(CrashEvidence.Instance.of(e))));
        return all;
    }

    /**
     * Applies a judgement; returns the sets that are new.
     *
     * @param findings what explains the crashes of a service
     */
    List<CondemnedSet> apply(String service, List<CrashJudge.Finding> findings) {
        List<CondemnedSet> added = new ArrayList<>();
        for (CrashJudge.Finding f : findings) {
            CondemnedSet same = sets.get(f.parts().id());
            boolean narrower = sets.values().stream()
                    .anyMatch(s -> s.parts().isWithin(f.parts()) && !s.parts().equals(f.parts()));
            if (same != null) {
                sets.put(f.parts().id(), same.withFinding(f));
            } else if (!narrower) {
                CondemnedSet wider = removeWithin(f.parts());
                CondemnedSet s =
                        (wider == null ? CondemnedSet.of(service, f, scheduler.nanoTime()) : wider).withFinding(f);
                if (add(s)) {
                    added.add(s);
                }
            }
        }
        return added;
    }

    /** Takes over the judgement of another node; returns whether it is new. */
    boolean adopt(CondemnedSet s) {
        Long lifted = liftedNanos.get(s.parts().id());
        if (lifted != null && s.sinceNanos() - lifted <= 0) {
            return false;
        }
        CondemnedSet same = sets.get(s.parts().id());
        if (same != null) {
            sets.put(s.parts().id(), same.mergedWith(s));
            return false;
        }
        if (sets.values().stream().anyMatch(k -> k.parts().isWithin(s.parts()))) {
            return false;
        }
        CondemnedSet wider = removeWithin(s.parts());
        return add(wider == null ? s : wider.withParts(s.parts()).mergedWith(s));
    }

    /** Whether a set was lifted at or after the time. */
    boolean liftedSince(long id, long nanos) {
        Long lifted = liftedNanos.get(id);
        return lifted != null && nanos - lifted <= 0;
    }

    /** Replaces a set by one of fewer parts; returns whether that is new. */
    boolean narrow(CondemnedSet s, PartSet parts) {
        sets.remove(s.parts().id());
        boolean covered = sets.values().stream().anyMatch(k -> k.parts().isWithin(parts));
        return !covered && add(s.withParts(parts));
    }

    void update(CondemnedSet s) {
        sets.replace(s.parts().id(), s);
    }

    /** Removes a set whose evidence another set explains. */
    void acquit(CondemnedSet s, String why) {
        if (sets.remove(s.parts().id()) != null) {
            logAcquitted(s, why);
        }
    }

    /** Removes a set that responses have disproved, so that it is not taken over again. */
    void lift(CondemnedSet s, String why) {
        acquit(s, why);
        markLifted(s.parts().id());
    }

    /** Remembers that a set was lifted now. */
    void markLifted(long id) {
        liftedNanos.remove(id);
        liftedNanos.put(id, scheduler.nanoTime());
        while (liftedNanos.size() > MAX_SETS) {
            liftedNanos.remove(liftedNanos.keySet().iterator().next());
        }
    }

    private CondemnedSet removeWithin(PartSet narrower) {
        CondemnedSet wider = null;
        for (CondemnedSet s : all()) {
            if (narrower.isWithin(s.parts())) {
                sets.remove(s.parts().id());
                wider = s;
            }
        }
        return wider;
    }

    private boolean add(CondemnedSet s) {
        if (sets.size() >= MAX_SETS) {
            return false;
        }
        sets.put(s.parts().id(), s);
        log.log(
                EventCode.PROMPT_CONDEMNED,
                s.service(),
                "parts",
                s.parts(),
                "crashes",
                s.crashes(),
                "last_crash_ms",
                (scheduler.nanoTime() - s.lastCrashNanos()) / 1_000_000,
                "evidence",
                s.describeEvidence());
        return true;
    }

    private void logAcquitted(CondemnedSet s, String why) {
        long ageMs = (scheduler.nanoTime() - s.sinceNanos()) / 1_000_000;
        log.log(
                EventCode.PROMPT_ACQUITTED,
                s.service(),
                "parts",
                s.parts(),
                "crashes",
                s.crashes(),
                "age_ms",
                ageMs,
                "why",
                why);
    }
}
