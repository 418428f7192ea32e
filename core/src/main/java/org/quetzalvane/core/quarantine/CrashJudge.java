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
import java.util.function.LongPredicate;

import it.unimi.dsi.fastutil.longs.Long2IntOpenHashMap;

/**
 * Finds the requests and the prompt parts that explain why instances of one service ended; see
 * docs/design/crashing-prompts.md. A request that was sent again and again is looked for first, since it explains the
 * fewest other requests away.
 *
 * <p>A function of its arguments, so that nodes with the same evidence decide alike. Stateless and thread-safe.
 */
final class CrashJudge {
    /** Age up to which a request is a prompt suspect, ms; the longest age observed was 122 ms. */
    static final long PROMPT_MS = 200;
    /**
     * What condemns a request without a prompt, besides {@link #REQUEST_RULES}: few such requests are in progress at a
     * time, so that chance explains less.
     */
    private static final Rule PLAIN_REQUEST_RULE = new Rule(3, PROMPT_MS, 2 / 3.0);
    /** What condemns a request that was sent again; one row suffices. */
    private static final List<Rule> REQUEST_RULES = List.of(
            PLAIN_REQUEST_RULE,
            new Rule(4, PROMPT_MS, 2 / 3.0),
            new Rule(6, PROMPT_MS, 1 / 3.0),
            new Rule(8, PromptQuarantine.BEGINNING_MS, 2 / 3.0));
    /**
     * What condemns a prompt part, besides {@link #PART_RULES}, if the heads of all counted responses were incomplete:
     * an endpoint writes a head at once, so that chance explains few of them.
     */
    private static final Rule WITHIN_HEAD_RULE = new Rule(3, PROMPT_MS, 1 / 2.0);
    /** What condemns a prompt part; one row suffices. */
    private static final List<Rule> PART_RULES = List.of(
            WITHIN_HEAD_RULE,
            new Rule(4, PROMPT_MS, 2 / 3.0),
            new Rule(6, PROMPT_MS, 1 / 3.0),
            new Rule(10, PromptQuarantine.BEGINNING_MS, 2 / 3.0));
    /** Fewest endpoint ids among the counted crashes: one endpoint may fail by itself again and again. */
    private static final int MIN_ENDPOINTS = 2;
    /** Time after an end within which the next one of the endpoint is its own fault, ms; engines need 5 s. */
    private static final long FLAP_MS = 4_000;
    /** Instances that end within this time of the first one count as one, ms. */
    private static final long CLUSTER_MS = 100;

    private CrashJudge() {}

    /**
     * Condition under which a part is condemned.
     *
     * @param crashes counted crashes, each under another attempt of a request or under another request with a part
     * @param maxAgeMs age up to which a request counts, ms; an older one with the part disproves it
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

        /** Whether any response of the service got past its beginning within the time for which passes are kept. */
        boolean servedLately();

        /** Whether a response with the part got past its beginning within that time. */
        boolean hasPassed(long part);
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
     * Finds what to condemn: requests, then parts, those that explain the most ends first.
     *
     * @param ends ends of instances of one service in order of time
     * @param explained sets that explain ends already
     */
    static List<Finding> judge(List<CrashEnd> ends, List<PartSet> explained, Passes passes) {
        List<CrashEnd> open = new ArrayList<>(ends);
        open.removeIf(e -> explained.stream().anyMatch(p -> explains(p, e)));
        List<Finding> findings = new ArrayList<>();
        // The ends of endpoints that fail by themselves stay here, as ends that the request does not explain.
        addFindings(open, PartSet::isIdentity, passes, findings);
        open.removeIf(e -> isFlap(e, ends));
        addFindings(open, p -> !PartSet.isIdentity(p), passes, findings);
        return findings;
    }

    /** Adds findings for the parts of a kind, and removes the ends that they explain. */
    private static void addFindings(List<CrashEnd> open, LongPredicate kind, Passes passes, List<Finding> findings) {
        Finding next = best(open, kind, passes);
        while (next != null) {
            Finding f = next;
            findings.add(f);
            open.removeIf(f::explains);
            next = best(open, kind, passes);
        }
    }

    static boolean explains(PartSet parts, CrashEnd e) {
        return e.begun().stream().anyMatch(b -> parts.isWithin(b.parts()));
    }

    private static List<Rule> rules(long part) {
        return PartSet.isIdentity(part) ? REQUEST_RULES : PART_RULES;
    }

    private static Finding best(List<CrashEnd> ends, LongPredicate kind, Passes passes) {
        Map<Long, List<Hit>> hitsByPart = hitsByPart(ends, kind, passes);
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

    private static Map<Long, List<Hit>> hitsByPart(List<CrashEnd> ends, LongPredicate kind, Passes passes) {
        Long2IntOpenHashMap frequencies = new Long2IntOpenHashMap();
        ends.forEach(e -> e.begun().forEach(b -> b.parts().forEach(part -> frequencies.addTo(part, 1))));
        Map<Long, List<Hit>> hits = new LinkedHashMap<>();
        for (CrashEnd e : ends) {
            for (CrashEnd.Begun b : e.begun()) {
                b.parts().forEach(part -> {
                    boolean frequent = frequencies.get(part) >= rules(part).get(0).crashes;
                    if (frequent && kind.test(part) && !passes.cleared(part, e.endedNanos())) {
                        hits.computeIfAbsent(part, p -> new ArrayList<>()).add(new Hit(e, b));
                    }
                });
            }
        }
        hits.entrySet().removeIf(h -> h.getValue().size() < rules(h.getKey()).get(0).crashes);
        return hits;
    }

    private static Finding find(long part, List<Hit> hits, List<CrashEnd> ends, Passes passes) {
        boolean identity = PartSet.isIdentity(part);
        for (Rule rule : rules(part)) {
            List<Hit> young = hits.stream()
                    .filter(h -> h.begun.ageMs() <= rule.maxAgeMs && (rule != WITHIN_HEAD_RULE || h.begun.withinHead()))
                    .toList();
            List<Hit> counted =
                    count(young.stream().filter(h -> !isFlap(h.end, ends)).toList(), identity);
            boolean applies = rule != PLAIN_REQUEST_RULE
                    || counted.stream().allMatch(h -> h.begun.parts().size() == 1);
            if (!applies || counted.size() < rule.crashes || endpoints(counted) < MIN_ENDPOINTS) {
                continue;
            }
            long since = counted.get(0).end.endedNanos();
            // The age of a request without a head includes its wait at the endpoint, which proves nothing.
            boolean survived = !identity
                    && hits.stream().anyMatch(h -> h.begun.ageMs() > rule.maxAgeMs && h.end.endedNanos() - since >= 0);
            List<CrashEnd> window =
                    ends.stream().filter(e -> e.endedNanos() - since >= 0).toList();
            Set<CrashEnd> hit = Collections.newSetFromMap(new IdentityHashMap<>());
            young.forEach(h -> hit.add(h.end));
            if (!survived && share(window, hit) >= rule.share && othersPass(part, since, passes)) {
                List<CrashEnd> crashes = counted.stream().map(Hit::end).toList();
                PartSet explains = identity ? PartSet.ofHashes(Set.of(part)) : common(part, young, passes);
                return new Finding(explains, crashes, hit.size());
            }
        }
        return null;
    }

    /**
     * Whether requests without the part get past their beginning, so that the engines are not at fault. A part that
     * passed before the crashes needs a pass after the first of them. For one that never passed, earlier passes of
     * others do, because all engines may end before a sound request gets through.
     */
    private static boolean othersPass(long part, long since, Passes passes) {
        return passes.servedSince(since) || !passes.hasPassed(part) && passes.servedLately();
    }

    /**
     * The crashes that count: at each, another request with the part had begun after the one counted before. Of a
     * request, an attempt that was sent again counts as well.
     */
    private static List<Hit> count(List<Hit> hits, boolean identity) {
        List<Hit> counted = new ArrayList<>();
        Set<Long> requests = new HashSet<>();
        for (Hit h : hits) {
            Hit last = counted.isEmpty() ? null : counted.get(counted.size() - 1);
            boolean later = last == null || h.begun.beganNanos() - last.end.endedNanos() > 0;
            if (later && (identity || requests.add(h.begun.request()))) {
                counted.add(h);
            }
        }
        return counted;
    }

    /** Whether another instance of the endpoint had ended shortly before. */
    private static boolean isFlap(CrashEnd end, List<CrashEnd> ends) {
        return ends.stream()
                .anyMatch(e -> e.endpoint().equals(end.endpoint())
                        && e.endedNanos() - end.endedNanos() < 0
                        && end.endedNanos() - e.endedNanos() < FLAP_MS * 1_000_000);
    }

    private static long endpoints(List<Hit> counted) {
        return counted.stream().map(h -> h.end.endpoint()).distinct().count();
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
