package org.quetzalvane.core.choice;

import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;

import org.quetzalvane.core.cluster.RendezvousHash;
import org.quetzalvane.core.fleet.Endpoint;
import org.quetzalvane.core.residency.AdapterUsage;
import org.quetzalvane.core.residency.ResidencyTable;
import org.quetzalvane.core.routes.AdapterRef;

/**
 * Chooses the engine for a request of an adapter.
 *
 * <p>Answers the pattern of skewed popularity: an engine that holds the adapter goes first, so that its kept prompt
 * parts are used, until its backlog exceeds another's by {@link #SPREAD_MS}; then a copy is loaded elsewhere. A rare
 * adapter falls to the engine that its name ranks first among those with little backlog, which is the one most likely
 * to have it in memory from before. Confined to the event loop.
 */
public final class EngineSelector {
    /**
     * Backlog beyond that of the best engine at which a copy is worth a load, ms: the time of one load from the
     * store.
     */
    static final double SPREAD_MS = 400;
    /** Preference for the own data centre, ms of backlog: moving an answer between data centres is priced. */
    private static final double OWN_ZONE_MS = 25;
    /** Backlog that the ranking of a rare adapter outweighs, ms: about what the credit of a load
     * from the store is worth against a late first event. */
    private static final double RANK_STEP_MS = 200;

    /** Idle adapters below which an engine counts as crowded; as many loads may be on their way to it. */
    private static final int SPARE_PLACES = 4;
    /** Cost of each idle adapter that is missing then, ms: a run of 2 s on each of 17 places frees one every 120 ms. */
    private static final double CROWD_STEP_MS = 120;
    /** Requests for an adapter within the memory of {@link AdapterDemand} that make a copy worth its load. */
    private static final int COPY_DEMAND = 3;

    private final EndpointLoads loads;
    private final AdapterUsage use;
    private final AdapterDemand demand;
    private final ResidencyTable residency;
    private final OutlierDetector outliers;
    private final PrefillEstimator prefill;
    private final String zone;
    private final Predicate<Endpoint> ordered;

    /**
     * Builds a choice.
     *
     * @param zone the node's data centre
     * @param ordered tells whether some node gives orders to an engine
     */
    public EngineSelector(Inputs view, String zone, Predicate<Endpoint> ordered) {
        this.loads = view.loads();
        this.use = view.use();
        this.demand = view.demand();
        this.residency = view.residency();
        this.outliers = view.outliers();
        this.prefill = view.prefill();
        this.zone = zone;
        this.ordered = ordered;
    }

    /**
     * What the choice looks at.
     *
     * @param loads work in progress
     * @param use adapters in use
     * @param demand how often adapters are asked for
     * @param residency what engines hold
     * @param outliers endpoints passed over
     * @param prefill expected waits
     */
    public record Inputs(
            EndpointLoads loads,
            AdapterUsage use,
            AdapterDemand demand,
            ResidencyTable residency,
            OutlierDetector outliers,
            PrefillEstimator prefill) {}

    /**
     * A chosen engine. Immutable.
     *
     * @param engine engine's id or the engine itself
     * @param waitMs expected wait for the first event there
     * @param resident whether it holds the adapter; otherwise a load must come first
     * @param copyTarget an engine on which one more copy is worth loading meanwhile, or null
     */
    public record Selection(Endpoint engine, double waitMs, boolean resident, Endpoint copyTarget) {}

    /** Chooses among the candidates, or gives null when there is none that holds or may load the adapter. */
    public Selection select(List<Endpoint> candidates, AdapterRef ref, int version, Set<String> excluded) {
        List<Endpoint> sound = outliers.healthy(
                candidates.stream().filter(e -> !excluded.contains(e.id())).toList(), Endpoint::id);
        Endpoint holder = best(sound.stream()
                .filter(e -> residency.residencyOf(e).serves(ref, version))
                .toList());
        if (ref.adapter().isEmpty()) {
            return holder == null ? null : new Selection(holder, waitMs(holder), true, null);
        }
        Endpoint target = loadTarget(
                sound.stream()
                        .filter(e -> residency.residencyOf(e).held().containsKey(ref.model()))
                        .filter(e -> !residency.residencyOf(e).serves(ref, version))
                        .toList(),
                ref);
        if (holder == null) {
            return target == null ? null : new Selection(target, waitMs(target), false, null);
        }
        boolean spread = target != null && inDemand(ref) && waitMs(holder) > waitMs(target) + SPREAD_MS;
        return new Selection(holder, waitMs(holder), true, spread ? target : null);
    }

    /** Expected wait for a first event at an engine, ms: pending prompts, and slots that are taken. */
    public double waitMs(Endpoint e) {
        EndpointLoads.Load l = loads.total(e.id());
        double queued = Math.max(0, l.requests() - e.slots()) * QUEUED_MS;
        return prefill.waitMs(l.pendingTokens()) + queued;
    }

    /** Added wait for each request beyond the slots, ms: a run of 2 s over 64 slots frees one every 31 ms. */
    private static final double QUEUED_MS = 31;

    /** Cost of an engine to which nobody gives orders, ms: dealing its duty to another node takes as long. */
    private static final double NO_ORDERS_MS = 3_000;

    private Endpoint best(List<Endpoint> holders) {
        return holders.stream()
                .min(Comparator.comparingDouble(this::cost).thenComparing(Endpoint::id))
                .orElse(null);
    }

    private Endpoint loadTarget(List<Endpoint> candidates, AdapterRef ref) {
        List<Endpoint> ranked = RendezvousHash.rank(ref.toString(), candidates, Endpoint::id);
        Endpoint chosen = null;
        double least = Double.MAX_VALUE;
        for (int i = 0; i < ranked.size(); i++) {
            Endpoint e = ranked.get(i);
            double rank = residency.wasResident(e, ref) ? 0 : 1 + i;
            double cost = waitMs(e) + rank * RANK_STEP_MS + crowdMs(e) + (ordered.test(e) ? 0 : NO_ORDERS_MS);
            if (cost < least) {
                least = cost;
                chosen = e;
            }
        }
        return chosen;
    }

    /** Expected wait for a place at an engine most of whose adapters are in use, ms. */
    private double crowdMs(Endpoint e) {
        int idle = residency.residencyOf(e).adapterCount() - use.inUseCount(e.id());
        return Math.max(0, SPARE_PLACES - idle) * CROWD_STEP_MS;
    }

    /** Whether enough requests ask this node for an adapter that a second copy pays. */
    private boolean inDemand(AdapterRef ref) {
        return demand.recentRequests(ref) >= COPY_DEMAND;
    }

    private double cost(Endpoint e) {
        double slots = loads.total(e.id()).requests() * 1.0;
        return waitMs(e) + slots + (e.zone().equals(zone) ? 0 : OWN_ZONE_MS);
    }
}
