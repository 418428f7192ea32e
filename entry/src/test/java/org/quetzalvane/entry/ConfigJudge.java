package org.quetzalvane.entry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.quetzalvane.platform.standin.KeptCaller.Response;

/**
 * Judges from the responses of nodes which configuration is in force on each, by the bounds of the platform's pages.
 * The responses of one run of a node arrive in order. Thread-safe.
 */
final class ConfigJudge {
    /** Name of the store among the disturbances. */
    static final String STORE = "store";

    /** Time without disturbance after which the store and a node have to meet the bounds, ms. */
    static final long STABILITY_MS = 3_000;

    /** Refusals by nodes in touch that the pages allow, beside one in 500 requests. */
    static final int REFUSALS_ALLOWED = 5;

    private static final long APPLY_MS = 2_000;
    private static final long ROLLBACK_SLACK_MS = 250;
    private static final int REQUESTS_PER_REFUSAL = 500;

    private final long startNanos = System.nanoTime();
    private final Disturbances disturbances;
    private final List<Integer> versions = new ArrayList<>();
    private final Map<Integer, Long> acknowledgedNanos = new HashMap<>();
    /** Oldest configuration that may be in force from a time on, by the run of a node. */
    private final Map<String, TreeMap<Long, Integer>> oldest = new HashMap<>();

    private final List<String> late = new ArrayList<>();
    private final List<String> reverted = new ArrayList<>();
    private final List<String> impossible = new ArrayList<>();
    private final List<String> refused = new ArrayList<>();
    private int steadyRequests;
    private int judgedForLateness;

    ConfigJudge(Disturbances disturbances) {
        this.disturbances = disturbances;
    }

    /**
     * A request and its response.
     *
     * @param node name of the node
     * @param run number of the node's process
     * @param connection how it was sent, for the report
     */
    record Probe(
            String node, int run, String connection, String path, long sentNanos, long endNanos, Response response) {
        private String nodeRun() {
            return node + "#" + run;
        }
    }

    /** The next configuration is being written. */
    synchronized void sent(int version) {
        versions.add(version);
    }

    synchronized void acknowledged(int index, long nanos) {
        acknowledgedNanos.put(index, nanos);
    }

    /** The store has lost what it acknowledged after a moment. */
    synchronized void lostSince(long nanos) {
        acknowledgedNanos.values().removeIf(at -> at >= nanos);
    }

    synchronized void observe(Probe p) {
        if (p.path().equals(ConfigSeries.STEADY)) {
            judgeSteady(p);
            return;
        }
        if (p.response().status() >= 429) {
            return;
        }
        int greatest = -1;
        for (int i = 0; i < versions.size(); i++) {
            greatest = ConfigSeries.allows(i, p.path(), p.response()) ? i : greatest;
        }
        if (greatest < 0) {
            impossible.add(describe(p));
            return;
        }
        judgeLateness(p, greatest);
        judgeOrder(p, greatest);
    }

    /** Responses that only an older configuration allows than one acknowledged longer ago than the bound. */
    synchronized List<String> late() {
        return List.copyOf(late);
    }

    /** Responses that only an older configuration allows than one that the same process had in force before. */
    synchronized List<String> reverted() {
        return List.copyOf(reverted);
    }

    /** Responses that no configuration allows. */
    synchronized List<String> impossible() {
        return List.copyOf(impossible);
    }

    /** Requests on the steady route that nodes in touch refused, and 404 from any node. */
    synchronized List<String> refused() {
        return List.copyOf(refused);
    }

    /** Number of responses of nodes in touch. */
    synchronized int judgedForLateness() {
        return judgedForLateness;
    }

    synchronized boolean tooManyRefused() {
        return refused.size() > REFUSALS_ALLOWED + steadyRequests / REQUESTS_PER_REFUSAL;
    }

    synchronized String summary() {
        return "configurations " + versions.size() + ", judged " + judgedForLateness + ", late " + late.size()
                + ", reverted " + reverted.size() + ", impossible " + impossible.size() + ", steady " + steadyRequests
                + ", refused " + refused.size();
    }

    private void judgeSteady(Probe p) {
        steadyRequests++;
        int status = p.response().status();
        if (status != 200 && (status == 404 || inTouch(p))) {
            refused.add(describe(p));
        }
    }

    private void judgeLateness(Probe p, int greatest) {
        if (!inTouch(p)) {
            return;
        }
        judgedForLateness++;
        for (int i = greatest + 1; i < versions.size(); i++) {
            Long at = acknowledgedNanos.get(i);
            if (at != null && p.sentNanos() - at > APPLY_MS * 1_000_000) {
                late.add(describe(p) + ", at most version " + versions.get(greatest) + ", version " + versions.get(i)
                        + " acknowledged at " + ms(at));
                return;
            }
        }
    }

    private void judgeOrder(Probe p, int greatest) {
        TreeMap<Long, Integer> bounds = oldest.computeIfAbsent(p.nodeRun(), n -> new TreeMap<>());
        Map.Entry<Long, Integer> before = bounds.floorEntry(p.sentNanos() - ROLLBACK_SLACK_MS * 1_000_000);
        if (before != null && before.getValue() > greatest) {
            reverted.add(describe(p) + ", at most version " + versions.get(greatest) + ", at least version "
                    + versions.get(before.getValue()) + " at " + ms(before.getKey()));
            return;
        }
        int last = bounds.isEmpty() ? 0 : bounds.lastEntry().getValue();
        int bound = last;
        while (bound <= greatest && !ConfigSeries.allows(bound, p.path(), p.response())) {
            bound++;
        }
        if (bound > last && bound <= greatest) {
            bounds.put(p.endNanos(), bound);
        }
    }

    private boolean inTouch(Probe p) {
        return disturbances.calm(STORE, p.sentNanos(), STABILITY_MS)
                && disturbances.calm(p.node(), p.sentNanos(), STABILITY_MS);
    }

    private String describe(Probe p) {
        return p.nodeRun() + " " + p.connection() + " " + p.path() + " sent " + ms(p.sentNanos()) + " end "
                + ms(p.endNanos()) + " status " + p.response().status() + " body "
                + p.response().body();
    }

    private String ms(long nanos) {
        return (nanos - startNanos) / 1_000_000 + " ms";
    }
}
