package org.quetzalvane.core.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import it.unimi.dsi.fastutil.longs.Long2ObjectLinkedOpenHashMap;
import org.quetzalvane.core.event.EventCode;
import org.quetzalvane.core.event.StructuredLog;
import org.quetzalvane.core.fleet.Endpoint;
import org.quetzalvane.core.time.Scheduler;

/**
 * What a node knows of crashes, passes and condemned prompt parts, and what others should know of it; sends nothing
 * itself. Confined to the event loop.
 */
public final class QuarantineState {
    /** Largest number of refused instances remembered until a break is reported. */
    private static final int MAX_REFUSALS = 256;
    /** Requests of a break that are logged. */
    private static final int LOGGED_REQUESTS = 4;
    /** Largest number of clearances waiting to be shared. */
    private static final int MAX_CLEARANCES = 1_000;

    private final Scheduler scheduler;
    private final StructuredLog log;
    private final String self;
    private final CrashEvidence evidence;
    private final PassTable passes;
    private final CondemnedSets condemned;
    private final Map<CrashEvidence.Instance, Long> refusals = new LinkedHashMap<>();
    private final Map<CrashEvidence.Instance, List<CrashEnd.Begun>> unsent = new LinkedHashMap<>();
    private final Map<String, Map<Long, Long>> repeatedParts = new HashMap<>();
    private final Long2ObjectLinkedOpenHashMap<String> unsharedPasses = new Long2ObjectLinkedOpenHashMap<>();
    private final List<Clearance> urgent = new ArrayList<>();

    /**
     * Creates an empty state.
     *
     * @param self address of this node for peers
     */
    public QuarantineState(Scheduler scheduler, StructuredLog log, String self) {
        this.scheduler = scheduler;
        this.log = log;
        this.self = self;
        this.evidence = new CrashEvidence(scheduler);
        this.passes = new PassTable(scheduler);
        this.condemned = new CondemnedSets(scheduler, log);
    }

    /** The condemned sets. */
    public Collection<CondemnedSet> condemned() {
        return condemned.all();
    }

    /** The condemned sets of which a request has all parts. */
    List<CondemnedSet> matching(PartSet parts) {
        return condemned.matching(parts);
    }

    CondemnedSets sets() {
        return condemned;
    }

    /** Numbers of instances in evidence and of passes kept. */
    List<Integer> sizes() {
        return List.of(evidence.size(), passes.size());
    }

    /** Records that a request is sent now. */
    void recordSent(long request) {
        passes.recordSent(request);
    }

    /** Records an attempt of this node that broke; returns whether a report is to be sent. */
    void recordBroken(Endpoint e, PartSet parts, long request, long beginningMs, boolean withinHead) {
        long now = scheduler.nanoTime();
        CrashEvidence.Instance i = new CrashEvidence.Instance(e.id(), e.bornMs());
        InstanceRecord r = recordFor(e.service(), i, now, now - beginningMs * 1_000_000);
        r.addOwnBreak(self, now);
        List<CrashEnd.Begun> begun = unsent.computeIfAbsent(i, k -> new ArrayList<>());
        if (beginningMs < PromptQuarantine.BEGINNING_MS) {
            CrashEnd.Begun b =
                    new CrashEnd.Begun(request, parts, now - beginningMs * 1_000_000, beginningMs, withinHead);
            if (r.addBegun(b) && begun.size() < InstanceRecord.MAX_BEGUN) {
                begun.add(b);
            }
        }
    }

    /** Records a refused connection; returns whether a report is to be sent. */
    boolean recordRefused(Endpoint e) {
        CrashEvidence.Instance i = new CrashEvidence.Instance(e.id(), e.bornMs());
        long now = scheduler.nanoTime();
        refusals.remove(i);
        refusals.put(i, now);
        if (refusals.size() > MAX_REFUSALS) {
            refusals.remove(refusals.keySet().iterator().next());
        }
        InstanceRecord r = evidence.find(i);
        boolean news = r != null && r.addRefusal(now) && r.broken() == 1;
        if (news) {
            unsent.computeIfAbsent(i, k -> new ArrayList<>());
        }
        return news;
    }

    /** Whether there is anything to report. */
    boolean hasReports() {
        return !unsent.isEmpty();
    }

    /** What this node has seen since the last call. */
    List<InstanceReport> takeReports() {
        long now = scheduler.nanoTime();
        List<InstanceReport> reports = new ArrayList<>();
        unsent.forEach((i, begun) -> {
            InstanceRecord r = evidence.find(i);
            if (r != null) {
                InstanceRecord.Break own = r.brokenAt(self);
                long ageMs = own == null ? 0 : (now - own.nanos()) / 1_000_000;
                int count = own == null ? 0 : own.count();
                List<InstanceReport.BegunRequest> requests =
                        begun.stream().map(b -> report(b, now)).toList();
                reports.add(new InstanceReport(
                        r.service(), r.endpoint(), r.bornMs(), count, r.isRefused(), ageMs, requests));
                logEvidence(r, self, begun);
            }
        });
        unsent.clear();
        return reports;
    }

    /** Applies what another node has seen; returns whether it is news. */
    boolean applyReport(String from, InstanceReport report) {
        long now = scheduler.nanoTime();
        long broke = now - report.ageMs() * 1_000_000;
        CrashEvidence.Instance i = new CrashEvidence.Instance(report.endpoint(), report.bornMs());
        long youngestMs = report.begun().stream()
                .mapToLong(b -> b.brokeMs() + b.ageMs())
                .min()
                .orElse(Long.MAX_VALUE / 1_000_000);
        InstanceRecord r = recordFor(report.service(), i, broke, now - youngestMs * 1_000_000);
        boolean news = r.addReportedBreak(from, report.broken(), broke);
        news |= report.refused() && r.addRefusal(now);
        List<CrashEnd.Begun> added = new ArrayList<>();
        for (InstanceReport.BegunRequest b : report.begun()) {
            long began = now - (b.brokeMs() + b.ageMs()) * 1_000_000;
            CrashEnd.Begun begun =
                    new CrashEnd.Begun(b.request(), PartSet.ofHashes(b.parts()), began, b.ageMs(), b.withinHead());
            if (b.ageMs() >= 0 && b.ageMs() < PromptQuarantine.BEGINNING_MS && r.addBegun(begun)) {
                added.add(begun);
            }
        }
        if (news || !added.isEmpty()) {
            logEvidence(r, from, added);
        }
        boolean confirms = r.broken() == 1 && refusedLately(i, now) && !report.refused();
        if (confirms) {
            r.addRefusal(now);
            unsent.computeIfAbsent(i, k -> new ArrayList<>());
        }
        return news || !added.isEmpty();
    }

    /** Records a response of this node past its beginning; returns whether it changes what is condemned. */
    boolean recordPass(String service, PartSet parts, long request) {
        long now = scheduler.nanoTime();
        boolean knowsSent = passes.knowsSent(request);
        long sentNanos = knowsSent ? passes.sentNanos(request) : now;
        boolean affects = applyPass(service, parts, now, knowsSent, sentNanos, false);
        if (affects && urgent.size() < MAX_CLEARANCES) {
            long sentAgeMs = (now - sentNanos) / 1_000_000;
            urgent.add(new Clearance(service, parts.hashes(), 0, sentAgeMs));
        }
        return affects;
    }

    /** Applies a pass at another node; returns whether it is news. */
    boolean applyClearance(Clearance c) {
        long now = scheduler.nanoTime();
        PartSet parts = PartSet.ofHashes(c.parts());
        long passed = now - c.passAgeMs() * 1_000_000;
        boolean knowsSent = c.sentAgeMs() >= 0;
        long sentNanos = knowsSent ? now - c.sentAgeMs() * 1_000_000 : passed;
        List<PassTable.Pass> before = parts.hashes().stream().map(passes::find).toList();
        boolean changed = applyPass(c.service(), parts, passed, knowsSent, sentNanos, true);
        return changed
                || !before.equals(parts.hashes().stream().map(passes::find).toList());
    }

    /** Passes that other nodes should know and do not know yet. */
    List<Clearance> takeClearances() {
        List<Clearance> out = new ArrayList<>(urgent);
        urgent.clear();
        long now = scheduler.nanoTime();
        for (Map.Entry<String, Map<Long, Long>> e : repeatedParts.entrySet()) {
            for (long part : e.getValue().keySet()) {
                if (needsSharing(e.getKey(), part) && out.size() < MAX_CLEARANCES) {
                    PassTable.Pass p = passes.find(part);
                    out.add(new Clearance(
                            e.getKey(),
                            List.of(part),
                            (now - p.nanos()) / 1_000_000,
                            (now - p.sentNanos()) / 1_000_000));
                    passes.recordPass(part, p.nanos(), p.sentNanos(), true);
                }
            }
        }
        return out;
    }

    /** Whether there are passes that other nodes should know and do not know yet. */
    boolean hasClearances() {
        return !urgent.isEmpty()
                || repeatedParts.entrySet().stream()
                        .anyMatch(e -> e.getValue().keySet().stream().anyMatch(p -> needsSharing(e.getKey(), p)));
    }

    /** Judges the evidence anew; returns the sets that are now condemned and were not before, or have fewer parts. */
    List<CondemnedSet> judge() {
        evidence.removeExpired();
        List<CondemnedSet> added = new ArrayList<>();
        Set<String> services = evidence.services();
        repeatedParts.keySet().retainAll(services);
        for (String service : services) {
            List<CrashEnd> ends = evidence.ends(service, CrashEvidence.SETTLE_MS);
            repeatedParts.put(service, CrashEvidence.repeatedParts(evidence.ends(service, 0)));
            added.addAll(judge(service, ends));
        }
        evidence.pin(condemned.evidence());
        return added;
    }

    /** Whether an instance counts as ended. */
    boolean hasEnded(Endpoint e) {
        InstanceRecord r = evidence.find(new CrashEvidence.Instance(e.id(), e.bornMs()));
        return r != null && r.end() != null;
    }

    private List<CondemnedSet> judge(String service, List<CrashEnd> ends) {
        CrashJudge.Passes view = new ServicePasses(service);
        List<CrashJudge.Finding> findings = CrashJudge.judge(ends, List.of(), view);
        List<PartSet> kept = new ArrayList<>();
        for (CondemnedSet s : condemned.of(service)) {
            boolean found = findings.stream().anyMatch(f -> f.parts().isWithin(s.parts()));
            boolean explained = !s.evidence().isEmpty()
                    && s.evidence().stream().allMatch(e -> findings.stream().anyMatch(f -> f.explains(e)));
            if (!found && explained) {
                condemned.acquit(s, "explained by other parts");
            } else if (!found) {
                kept.add(s.parts());
            }
        }
        return condemned.apply(service, kept.isEmpty() ? findings : CrashJudge.judge(ends, kept, view));
    }

    /** Applies a pass to the evidence and to the condemned sets; returns whether it changes one of these. */
    private boolean applyPass(
            String service, PartSet parts, long passed, boolean knowsSent, long sentNanos, boolean shared) {
        Set<Long> condemnedParts = new HashSet<>();
        boolean changed = false;
        for (CondemnedSet s : condemned.of(service)) {
            PartSet both = s.parts().intersect(parts);
            if (both.isEmpty()) {
                continue;
            }
            condemnedParts.addAll(both.hashes());
            if (knowsSent && sentNanos - s.lastCrashNanos() > 0) {
                changed = true;
                if (both.size() == s.parts().size()) {
                    lift(s, "passed");
                } else {
                    condemned.narrow(s, s.parts().filter(p -> !parts.contains(p)));
                }
            }
        }
        for (long p : parts.hashes()) {
            if (!condemnedParts.contains(p)) {
                passes.recordPass(p, passed, sentNanos, shared);
            } else if (knowsSent) {
                passes.recordPass(p, sentNanos, sentNanos, shared);
            }
        }
        if (condemnedParts.isEmpty()) {
            passes.recordServed(service, passed);
        }
        return changed;
    }

    /** Lifts a set; its parts count as passed now. */
    void lift(CondemnedSet s, String why) {
        condemned.lift(s, why);
        long now = scheduler.nanoTime();
        s.parts().hashes().forEach(p -> passes.recordPass(p, now, now, true));
    }

    /** Whether other nodes should know of passes of one of the parts and do not. */
    boolean needsSharing(String service, PartSet parts) {
        return parts.hashes().stream().anyMatch(p -> needsSharing(service, p));
    }

    private boolean needsSharing(String service, long part) {
        Long newest = repeatedParts.getOrDefault(service, Map.of()).get(part);
        PassTable.Pass p = passes.find(part);
        return newest != null && p != null && p.isNewsAfter(newest);
    }

    private InstanceRecord recordFor(String service, CrashEvidence.Instance i, long breakNanos, long beganNanos) {
        InstanceRecord r = evidence.recordFor(service, i, breakNanos, beganNanos);
        Long refused = refusals.get(i);
        if (refused != null) {
            r.addRefusal(refused);
        }
        return r;
    }

    private boolean refusedLately(CrashEvidence.Instance i, long now) {
        Long at = refusals.get(i);
        return at != null && now - at <= InstanceRecord.END_WINDOW_MS * 1_000_000;
    }

    private static InstanceReport.BegunRequest report(CrashEnd.Begun b, long now) {
        long brokeMs = (now - b.beganNanos()) / 1_000_000 - b.ageMs();
        return new InstanceReport.BegunRequest(b.request(), b.parts().hashes(), b.ageMs(), brokeMs, b.withinHead());
    }

    private void logEvidence(InstanceRecord r, String from, List<CrashEnd.Begun> begun) {
        String requests = begun.stream()
                .limit(LOGGED_REQUESTS)
                .map(b -> Long.toHexString(b.request()) + ":" + b.ageMs() + (b.withinHead() ? "h:" : ":") + b.parts())
                .reduce((a, b) -> a + ", " + b)
                .orElse("");
        log.log(
                EventCode.CRASH_EVIDENCE,
                r.endpoint(),
                "born",
                r.bornMs(),
                "service",
                r.service(),
                "from",
                from,
                "broken",
                r.broken(),
                "refused",
                r.isRefused(),
                "begun",
                begun.size(),
                "requests",
                requests);
    }

    /** The passes of one service. */
    private final class ServicePasses implements CrashJudge.Passes {
        private final String service;

        ServicePasses(String service) {
            this.service = service;
        }

        @Override
        public boolean cleared(long part, long nanos) {
            return passes.cleared(part, nanos);
        }

        @Override
        public boolean servedSince(long nanos) {
            return passes.servedSince(service, nanos);
        }

        @Override
        public boolean servedLately() {
            return passes.servedLately(service);
        }

        @Override
        public boolean hasPassed(long part) {
            return passes.find(part) != null;
        }
    }
}
