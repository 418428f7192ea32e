package org.quetzalvane.core.choice;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.BiFunction;

import org.quetzalvane.core.fleet.Endpoint;
import org.quetzalvane.core.limit.EndpointPermits;
import org.quetzalvane.core.residency.AdapterUsage;
import org.quetzalvane.core.residency.EngineResidency;
import org.quetzalvane.core.residency.ResidencyTable;
import org.quetzalvane.core.routes.AdapterRef;
import org.quetzalvane.core.time.ManualScheduler;

/**
 * Replays requests for adapters of unequal popularity on the paused clock: every node selects engines with its own
 * tables, which it fills as the nodes of a deployment do, through hubs and every 300 ms.
 */
final class LoadReplay {
    private static final long STATUS_INTERVAL_MS = 300;
    private static final Duration HOP = Duration.ofMillis(1);
    static final long OBJECTIVE_MS = 800;
    private static final double LOAD_WAIT_OBJECTIVE_FACTOR = 1.6;
    private static final int MAX_LOAD_REQUESTS = 3;

    private final ManualScheduler clock = new ManualScheduler();
    private final Deployment deployment;
    private final Random random;
    private final List<ReplayEngine> engines = new ArrayList<>();
    private final List<Endpoint> endpoints = new ArrayList<>();
    private final List<Node> nodes = new ArrayList<>();
    private final double[] cumulativePopularity;
    private final List<Double> firstTokenMs = new ArrayList<>();
    private int requests;
    private int refused;
    private boolean measuring;

    /**
     * A deployment and its load.
     *
     * @param promptTokens mean prompt; prompts are spread evenly from half of it to one and a half times as much
     * @param decodeMs time from the first token to the end of a request
     * @param paceFactor ratio of the prefill paces of the fastest and the slowest engine
     */
    record Deployment(
            int nodes,
            int hubs,
            int engines,
            int requestSlots,
            int adapterSlots,
            int fullSpeedLoads,
            double tokensPerMs,
            double paceFactor,
            double requestsPerSecond,
            int adapters,
            double zipfExponent,
            int promptTokens,
            long decodeMs) {

        /** Sawmill Stock Assessment on a quiet day. */
        static Deployment sawmill() {
            return new Deployment(70, 6, 63, 24, 11, 48, 19.1, 1, 258, 10_000, 1.2, 1_460, 1_300);
        }

        /** Few engines with many slots, and as many nodes, all of them hubs. */
        static Deployment fewEngines() {
            return new Deployment(9, 9, 8, 64, 17, 8, 19.1, 1, 60, 400, 1.0, 1_460, 1_900);
        }

        Deployment atRate(double factor) {
            return new Deployment(
                    nodes,
                    hubs,
                    engines,
                    requestSlots,
                    adapterSlots,
                    fullSpeedLoads,
                    tokensPerMs,
                    paceFactor,
                    requestsPerSecond * factor,
                    adapters,
                    zipfExponent,
                    promptTokens,
                    decodeMs);
        }
    }

    /** The decision under test, on one node. */
    interface Decision {
        EngineSelector.Selection select(List<Endpoint> engines, Wanted wanted, Set<String> excluded);
    }

    /** What a request wants of an engine. */
    record Wanted(String id, AdapterRef adapter, long promptTokens) {}

    /**
     * Results of one replay.
     *
     * @param onTime share of requests whose first token came within the objective
     * @param loadsPerRequest loads from the weight store
     * @param busiest requests of the busiest engine, as a multiple of the mean
     */
    record Result(
            int requests,
            double onTime,
            double p75Ms,
            double p99Ms,
            double loadsPerRequest,
            double busiest,
            double refusedShare) {
        @Override
        public String toString() {
            return String.format(
                    Locale.ROOT,
                    "requests %d, on time %.4f, p75 %.0f ms, p99 %.0f ms, loads/request %.4f, busiest/mean %.2f,"
                            + " refused %.4f",
                    requests,
                    onTime,
                    p75Ms,
                    p99Ms,
                    loadsPerRequest,
                    busiest,
                    refusedShare);
        }
    }

    /** One node with its own tables. */
    private final class Node {
        private final int number;
        private final String id;
        private final EndpointLoads loads = new EndpointLoads();
        private final AdapterUsage usage = new AdapterUsage(clock);
        private final AdapterDemand demand = new AdapterDemand(clock);
        private final ResidencyTable residency = new ResidencyTable(clock);
        private final PrefillEstimator prefill = new PrefillEstimator();
        private final Decision decision;

        Node(int number, BiFunction<EngineSelector.Inputs, String, Decision> decisions) {
            this.number = number;
            this.id = "n" + number;
            EngineSelector.Inputs inputs = new EngineSelector.Inputs(
                    loads, usage, demand, residency, new OutlierDetector(clock), prefill, EndpointPermits.UNLIMITED);
            this.decision = decisions.apply(inputs, "z" + number % 3);
        }

        private boolean isHub() {
            return number < deployment.hubs();
        }

        private List<String> members() {
            List<String> members = new ArrayList<>();
            for (int n = number + deployment.hubs(); n < deployment.nodes(); n += deployment.hubs()) {
                members.add("n" + n);
            }
            return members;
        }

        void sendStatus() {
            clock.schedule(Duration.ofMillis(STATUS_INTERVAL_MS), this::sendStatus);
            if (!isHub()) {
                updateLater(nodes.get(number % deployment.hubs()), List.of());
                return;
            }
            for (int e = number; e < engines.size(); e += deployment.hubs()) {
                residency.update("e" + e, residencyOf(e));
            }
            Map<String, EngineResidency> fresh = residency.reportsWithin(STATUS_INTERVAL_MS * 3);
            for (Node n : nodes) {
                if (n != this && n.isHub()) {
                    updateLater(n, members());
                    clock.schedule(HOP, () -> fresh.forEach(n.residency::update));
                } else if (n != this && n.number % deployment.hubs() == number) {
                    Map<String, EndpointLoads.Load> all = loads.allExcept(n.id);
                    Map<String, Integer> counts = usage.inUseCounts();
                    List<AdapterRef> popular = usage.popular();
                    clock.schedule(HOP, () -> {
                        n.loads.updatePeer("hub", all);
                        n.usage.updateReported(counts, popular);
                        fresh.forEach(n.residency::update);
                    });
                }
            }
        }

        private void updateLater(Node to, List<String> ofMembers) {
            Map<String, EndpointLoads.Load> l = loads.sum(ofMembers);
            Map<String, List<AdapterRef>> u = usage.inUseBy(ofMembers);
            clock.schedule(HOP, () -> {
                to.loads.updatePeer(id, l);
                to.usage.updatePeer(id, u);
            });
        }

        private EngineResidency residencyOf(int e) {
            return new EngineResidency(
                    1, engines.get(e).orders(), Map.of("m", engines.get(e).resident()));
        }
    }

    /** One request of a caller. */
    private final class Call {
        private final Node node;
        private final Wanted wanted;
        private final long startNanos = clock.nanoTime();
        private final boolean measured = measuring;
        private final Set<String> tried = new HashSet<>();
        private int loadRequests;

        Call(Node node, Wanted wanted) {
            this.node = node;
            this.wanted = wanted;
        }

        void next() {
            EngineSelector.Selection s = node.decision.select(endpoints, wanted, tried);
            long waitMs = Math.round(OBJECTIVE_MS * LOAD_WAIT_OBJECTIVE_FACTOR - elapsedMs());
            if (s == null || !s.resident() && (++loadRequests > MAX_LOAD_REQUESTS || waitMs <= 0)) {
                refused += measured ? 1 : 0;
                return;
            }
            if (s.copyTarget() != null) {
                engineOf(s.copyTarget()).requestAdapter(wanted.adapter(), OBJECTIVE_MS, true, ok -> {});
            }
            clock.schedule(HOP, () -> engineOf(s.engine())
                    .requestAdapter(wanted.adapter(), Math.max(60, waitMs), false, ok -> onLoaded(s.engine(), ok)));
        }

        private void onLoaded(Endpoint e, boolean ok) {
            if (!ok) {
                tried.add(e.id());
                next();
                return;
            }
            long tokens = wanted.promptTokens();
            node.loads.requestStarted(e.id(), tokens);
            node.usage.requestStarted(e.id(), wanted.adapter());
            long pending = node.loads.total(e.id()).pendingTokens();
            long sentNanos = clock.nanoTime();
            clock.schedule(HOP, () -> {
                boolean accepted = engineOf(e)
                        .run(wanted.adapter(), tokens, () -> onFirstToken(e, pending, sentNanos), () -> onEnd(e, 0));
                if (!accepted) {
                    onEnd(e, tokens);
                    next();
                }
            });
        }

        private void onFirstToken(Endpoint e, long pending, long sentNanos) {
            node.loads.prefillDone(e.id(), wanted.promptTokens());
            node.prefill.recordWait(pending, (clock.nanoTime() - sentNanos) / 1e6);
            if (measured) {
                firstTokenMs.add(elapsedMs());
            }
        }

        private void onEnd(Endpoint e, long pendingTokens) {
            node.prefill.recordRun(deployment.decodeMs());
            node.loads.requestEnded(e.id(), pendingTokens);
            node.usage.requestEnded(e.id(), wanted.adapter());
        }

        private double elapsedMs() {
            return (clock.nanoTime() - startNanos) / 1e6;
        }
    }

    LoadReplay(Deployment deployment, long seed, BiFunction<EngineSelector.Inputs, String, Decision> decisions) {
        this.deployment = deployment;
        this.random = new Random(seed);
        for (int e = 0; e < deployment.engines(); e++) {
            double pace = deployment.tokensPerMs()
                    * Math.pow(deployment.paceFactor(), (double) e / deployment.engines() - 0.5);
            engines.add(new ReplayEngine(clock, deployment, pace, this::storeLoadsInFlight));
            endpoints.add(new Endpoint(
                    "e" + e,
                    "s",
                    "127.0.0.1",
                    e,
                    "z" + e % 3,
                    "v1",
                    Endpoint.State.READY,
                    deployment.requestSlots(),
                    1,
                    Map.of("m", Map.of())));
        }
        for (int n = 0; n < deployment.nodes(); n++) {
            nodes.add(new Node(n, decisions));
        }
        cumulativePopularity = new double[deployment.adapters()];
        double sum = 0;
        for (int i = 0; i < cumulativePopularity.length; i++) {
            sum += Math.pow(i + 1.0, -deployment.zipfExponent());
            cumulativePopularity[i] = sum;
        }
    }

    /** Runs the load, and measures after the warm-up. */
    Result run(Duration warmUp, Duration measured) {
        nodes.forEach(n -> clock.schedule(Duration.ofMillis(random.nextInt((int) STATUS_INTERVAL_MS)), n::sendStatus));
        arriveLater();
        clock.advance(warmUp);
        engines.forEach(ReplayEngine::resetCounts);
        measuring = true;
        clock.advance(measured);
        int loads = engines.stream().mapToInt(ReplayEngine::loadsFromStore).sum();
        double mean = engines.stream().mapToInt(ReplayEngine::served).average().orElse(1);
        int busiest = engines.stream().mapToInt(ReplayEngine::served).max().orElse(0);
        measuring = false;
        int sent = requests;
        requests = Integer.MIN_VALUE;
        clock.advance(Duration.ofSeconds(10));
        double[] sorted =
                firstTokenMs.stream().mapToDouble(Double::doubleValue).sorted().toArray();
        long onTime = Arrays.stream(sorted).filter(ms -> ms <= OBJECTIVE_MS).count();
        return new Result(
                sent,
                (double) onTime / sent,
                sorted[(int) (sorted.length * 0.75)],
                sorted[(int) (sorted.length * 0.99)],
                (double) loads / sent,
                busiest / mean,
                (double) refused / sent);
    }

    private void arriveLater() {
        double gapMs = -Math.log(1 - random.nextDouble()) * 1_000 / deployment.requestsPerSecond();
        clock.schedule(Duration.ofNanos(Math.round(gapMs * 1e6)), () -> {
            if (requests >= 0) {
                arriveLater();
                arrive();
            }
        });
    }

    private void arrive() {
        requests += measuring ? 1 : 0;
        Node node = nodes.get(random.nextInt(nodes.size()));
        int rank = Arrays.binarySearch(
                cumulativePopularity, random.nextDouble() * cumulativePopularity[cumulativePopularity.length - 1]);
        AdapterRef ref = new AdapterRef("m", "a" + (rank < 0 ? -rank - 1 : rank));
        long tokens = Math.round(deployment.promptTokens() * (0.5 + random.nextDouble()));
        node.demand.recordRequest(ref);
        new Call(node, new Wanted("r" + random.nextLong(), ref, tokens)).next();
    }

    private int storeLoadsInFlight() {
        return engines.stream().mapToInt(ReplayEngine::storeLoadsInFlight).sum();
    }

    private ReplayEngine engineOf(Endpoint e) {
        return engines.get(e.port());
    }
}
