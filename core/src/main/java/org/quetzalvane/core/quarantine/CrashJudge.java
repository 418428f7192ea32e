package org.quetzalvane.core.quarantine;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Finds the prompt parts that explain why instances of one service ended; see docs/design/crashing-prompts.md.
 *
 * <p>A function of its arguments, so that nodes with the same evidence decide alike. Stateless and thread-safe.
 */
final class CrashJudge {
    /** Age up to which a request is a prompt suspect, ms; twice the longest age observed, 122 ms. */
    static final long PROMPT_MS = 250;
    /** Instances that end within this time of the first one count as one in shares, ms. */
    private static final long CLUSTER_MS = 100;
    /** What condemns a part; one row suffices. */
    private static final List<Rule> RULES = List.of(
            new Rule(3, PROMPT_MS, 2 / 3.0),
            new Rule(5, PROMPT_MS, 1 / 3.0),
            new Rule(5, PromptQuarantine.BEGINNING_MS, 2 / 3.0));
    /** Fewest endpoint ids among the counted crashes: one endpoint may fail by itself again and again. */
    private static final int MIN_ENDPOINTS = 2;
    /** Fewest requests among the counted crashes: one request alone may be sent again and again. */
    private static final int MIN_REQUESTS = 2;

    private CrashJudge() {}

    /**
     * Condition under which a part is condemned.
     *
     * @param crashes counted crashes
     * @param maxAgeMs age up to which a request counts, ms
     * @param share share of the ends since the first counted crash at which such a request was found
     */
    private record Rule(int crashes, long maxAgeMs, double share) {}

    /** A request with a part at an end. */
    private record Hit(CrashEnd end, CrashEnd.Begun begun) {}

    /** What responses past their beginning have proved. */
    interface Passes {
        /** Whether a response with the part got past its beginning after the time. */
        boolean cleared(long part, long nanos);

        /** Whether any response of the service got past its beginning after the time. */
        boolean servedSince(long nanos);
    }

    /**
     * Parts that explain crashes. Immutable.
     *
     * @param parts the parts common to the evidence
     * @param counted the counted crashes in order of time
     * @param ends number of ends at which a request with the parts was found
     */
    record Finding(PartSet parts, List<CrashEnd> counted, int ends) {
        /** Whether a request with all parts was in its beginning at an end. */
        boolean explains(CrashEnd e) {
            return CrashJudge.explains(parts, e);
        }
    }

    /**
     * Finds the parts to condemn, those that explain the most ends first.
     *
     * @param ends ends of instances of one service in order of time
     * @param explained sets that explain ends already
     */
    static List<Finding> judge(List<CrashEnd> ends, List<PartSet> explained, Passes passes) {
        List<CrashEnd> open = new ArrayList<>(ends);
        open.removeIf(e -> explained.stream().anyMatch(p -> explains(p, e)));
        List<Finding> findings = new ArrayList<>();
        Finding next = best(open, passes);
        while (next != null) {
            Finding f = next;
            findings.add(f);
            open.removeIf(f::explains);
            next = best(open, passes);
        }
        return findings;
    }

    static boolean explains(PartSet parts, CrashEnd e) {
        return e.begun().stream().anyMatch(b -> parts.isWithin(b.parts()));
    }

    private static Finding best(List<CrashEnd> ends, Passes passes) {
        if (ends.size() < RULES.get(0).crashes) {
            return null;
        }
        Map<Long, List<Hit>> hitsByPart = hitsByPart(ends, passes);
        Finding best = null;
        int bestHits = 0;
        List<Long> parts = new ArrayList<>(hitsByPart.keySet());
        parts.sort(Comparator.naturalOrder());
        for (long part : parts) {
            List<Hit> hits = hitsByPart.get(part);
            Finding f = find(part, hits, ends, passes);
            boolean better = f != null
                    && (best == null
                            || f.ends > best.ends
                            || f.ends == best.ends && f.counted.size() > best.counted.size()
                            || f.ends == best.ends
                                    && f.counted.size() == best.counted.size()
                                    && hits.size() < bestHits);
            if (better) {
                best = f;
                bestHits = hits.size();
            }
        }
        return best;
    }

    private static Map<Long, List<Hit>> hitsByPart(List<CrashEnd> ends, Passes passes) {
        Map<Long, List<Hit>> hits = new LinkedHashMap<>();
        for (CrashEnd e : ends) {
            for (CrashEnd.Begun b : e.begun()) {
                for (long part : b.parts().hashes()) {
                    if (!passes.cleared(part, e.endedNanos())) {
                        hits.computeIfAbsent(part, p -> new ArrayList<>()).add(new Hit(e, b));
                    }
                }
            }
        }
        hits.values().removeIf(h -> h.size() < RULES.get(0).crashes);
        return hits;
    }

    private static Finding find(long part, List<Hit> hits, List<CrashEnd> ends, Passes passes) {
        for (Rule rule : RULES) {
            List<Hit> young =
                    hits.stream().filter(h -> h.begun.ageMs() <= rule.maxAgeMs).toList();
            List<Hit> counted = count(young);
            if (counted.size() < rule.crashes || !distinct(counted)) {
                continue;
            }
            long since = counted.get(0).end.endedNanos();
            List<CrashEnd> window =
                    ends.stream().filter(e -> e.endedNanos() - since >= 0).toList();
            Set<CrashEnd> hit = Collections.newSetFromMap(new IdentityHashMap<>());
            young.forEach(h -> hit.add(h.end));
            if (share(window, hit) >= rule.share && passes.servedSince(since)) {
                PartSet common = common(part, young, passes);
                List<CrashEnd> crashes = counted.stream().map(Hit::end).toList();
                return new Finding(common, crashes, hit.size());
            }
        }
        return null;
    }

    /**
     * The crashes that count: at each, a request with the part had begun after the one counted before. Requests not
     * seen at the counted crashes are preferred.
     */
    private static List<Hit> count(List<Hit> hits) {
        List<Hit> counted = new ArrayList<>();
        Set<Long> requests = new HashSet<>();
        for (int i = 0; i < hits.size(); ) {
            CrashEnd end = hits.get(i).end;
            Hit chosen = null;
            for (; i < hits.size() && hits.get(i).end == end; i++) {
                Hit h = hits.get(i);
                boolean later = counted.isEmpty()
                        || h.begun.beganNanos()
                                        - counted.get(counted.size() - 1).end.endedNanos()
                                > 0;
                if (later && (chosen == null || requests.contains(chosen.begun.request()))) {
                    chosen = h;
                }
            }
            if (chosen != null) {
                counted.add(chosen);
                requests.add(chosen.begun.request());
            }
        }
        return counted;
    }

    private static boolean distinct(List<Hit> counted) {
        long endpoints = counted.stream().map(h -> h.end.endpoint()).distinct().count();
        long requests = counted.stream().map(h -> h.begun.request()).distinct().count();
        return endpoints >= MIN_ENDPOINTS && requests >= MIN_REQUESTS;
    }

    /** Share of the ends, those close together taken as one, among which is one of the given ends. */
    private static double share(List<CrashEnd> window, Set<CrashEnd> hit) {
        int clusters = 0;
        int explained = 0;
        for (int i = 0; i < window.size(); ) {
            long first = window.get(i).endedNanos();
            boolean any = false;
            for (; i < window.size() && window.get(i).endedNanos() - first <= CLUSTER_MS * 1_000_000; i++) {
                any |= hit.contains(window.get(i));
            }
            clusters++;
            explained += any ? 1 : 0;
        }
        return (double) explained / clusters;
    }

    /** The uncleared parts common to all ends with the part, at each those of the request that overlaps most. */
    private static PartSet common(long part, List<Hit> hits, Passes passes) {
        List<List<PartSet>> byEnd = new ArrayList<>();
        CrashEnd end = null;
        for (Hit h : hits) {
            if (h.end != end) {
                byEnd.add(new ArrayList<>());
                end = h.end;
            }
            PartSet uncleared = h.begun.parts().filter(p -> !passes.cleared(p, h.end.endedNanos()));
            byEnd.get(byEnd.size() - 1).add(uncleared);
        }
        PartSet best = PartSet.ofHashes(Set.of(part));
        for (PartSet start : byEnd.get(0)) {
            PartSet common = start;
            for (List<PartSet> atEnd : byEnd) {
                common = largestOverlap(common, atEnd);
            }
            best = common.size() > best.size() ? common : best;
        }
        return best;
    }

    private static PartSet largestOverlap(PartSet set, List<PartSet> others) {
        return others.stream()
                .map(set::intersect)
                .max(Comparator.comparingInt(PartSet::size))
                .orElse(set);
    }
}
