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
 * Selects the engine for a request for an adapter.
 *
 * <p>Handles skewed popularity: an engine on which the adapter is resident is preferred, so that its prefix cache is
 * used, until its backlog exceeds another engine's by {@link #COPY_BACKLOG_MS}; then a copy is loaded elsewhere. An
 * adapter that is not resident is placed by its rendezvous order among the engines with little backlog; the first of
 * them most likely has the adapter in memory from before. Confined to the event loop.
 */
public final class EngineSelector {
    /**
     * Backlog beyond that of the best other engine at which a copy is worth a load, ms: the duration of one load from
     * the store.
     */
    static final double COPY_BACKLOG_MS = 400;
    /**
     * Preference for the node's own data centre, in ms of backlog; responses that cross data centres are charged for.
     */
    private static final double REMOTE_DATA_CENTRE_COST_MS = 25;
    /**
     * Cost of each position in the rendezvous order, in ms of backlog: about the price of a load from the store
     * relative to that of a late first token.
     */
    private static final double RENDEZVOUS_POSITION_COST_MS = 200;

    /** Idle adapters below which an engine counts as crowded; as many loads may be in flight to it. */
    private static final int MIN_IDLE_ADAPTERS = 4;
    /**
     * Cost of each idle adapter that is missing then, ms: with runs of 2 s on 17 adapter slots, one slot becomes free
     * every 120 ms.
     */
    private static final double MISSING_IDLE_COST_MS = 120;
    /** Requests for an adapter within the window of {@link AdapterDemand} from which a copy is worth its load. */
    private static final int MIN_COPY_REQUESTS = 3;

    private final EndpointLoads loads;
    private final AdapterUsage adapterUsage;
    private final AdapterDemand demand;
    private final ResidencyTable residency;
    private final OutlierDetector outliers;
    private final PrefillEstimator prefill;
    private final String dataCentre;
    private final Predicate<Endpoint> hasOwner;

    /**
     * Creates a selector.
     *
     * @param dataCentre data centre of this node
     * @param hasOwner whether some node owns an engine
     */
    public EngineSelector(Inputs inputs, String dataCentre, Predicate<Endpoint> hasOwner) {
        this.loads = inputs.endpointLoads();
        this.adapterUsage = inputs.adapterUsage();
        this.demand = inputs.adapterDemand();
        this.residency = inputs.residency();
        this.outliers = inputs.outlierDetector();
        this.prefill = inputs.prefillEstimator();
        this.dataCentre = dataCentre;
        this.hasOwner = hasOwner;
    }

    /**
     * State that the selection is based on.
     *
     * @param endpointLoads endpoint load of each endpoint
     * @param adapterUsage adapters in use
     * @param adapterDemand recent requests by adapter
     * @param residency adapters resident on each engine
     * @param outlierDetector suspends failing and slow endpoints
     * @param prefillEstimator estimates the wait for the first token
     */
    public record Inputs(
            EndpointLoads endpointLoads,
            AdapterUsage adapterUsage,
            AdapterDemand adapterDemand,
            ResidencyTable residency,
            OutlierDetector outlierDetector,
            PrefillEstimator prefillEstimator) {}

    /**
     * A selected engine. Immutable.
     *
     * @param engine selected engine
     * @param waitMs expected wait for the first token there, in milliseconds
     * @param resident whether the adapter is resident there; otherwise it must be loaded first
     * @param copyTarget engine on which an additional copy is worth loading meanwhile, or null
     */
    public record Selection(Endpoint engine, double waitMs, boolean resident, Endpoint copyTarget) {}

    /** Selects one of the candidates, or null if the adapter is resident on none and none can load it. */
    public Selection select(List<Endpoint> candidates, AdapterRef ref, int version, Set<String> excluded) {
        List<Endpoint> healthy = outliers.healthy(
                candidates.stream().filter(e -> !excluded.contains(e.id())).toList(), Endpoint::id);
        Endpoint resident = bestResident(healthy.stream()
                .filter(e -> residency.residencyOf(e).serves(ref, version))
                .toList());
        if (ref.adapter().isEmpty()) {
            return resident == null ? null : new Selection(resident, waitMs(resident), true, null);
        }
        Endpoint target = loadTarget(
                healthy.stream()
                        .filter(e -> residency.residencyOf(e).held().containsKey(ref.model()))
                        .filter(e -> !residency.residencyOf(e).serves(ref, version))
                        .toList(),
                ref);
        if (resident == null) {
            return target == null ? null : new Selection(target, waitMs(target), false, null);
        }
        boolean copyWorthwhile = target != null && inDemand(ref) && waitMs(resident) > waitMs(target) + COPY_BACKLOG_MS;
        return new Selection(resident, waitMs(resident), true, copyWorthwhile ? target : null);
    }

    /** Expected wait for the first token at an engine, ms: pending prompts, and requests beyond its request slots. */
    public double waitMs(Endpoint e) {
        EndpointLoads.Load l = loads.total(e.id());
        double queuedMs = Math.max(0, l.requests() - e.requestSlots()) * QUEUED_REQUEST_MS;
        return prefill.waitMs(l.pendingTokens()) + queuedMs;
    }

    /**
     * Wait added for each request beyond the request slots, ms: with runs of 2 s on 64 slots, one becomes free every 31
     * ms.
     */
    private static final double QUEUED_REQUEST_MS = 31;

    /** Cost of an engine without an owner, ms: the time to assign its partition to another node. */
    private static final double NO_OWNER_COST_MS = 3_000;

    private Endpoint bestResident(List<Endpoint> residents) {
        return residents.stream()
                .min(Comparator.comparingDouble(this::residentCostMs).thenComparing(Endpoint::id))
                .orElse(null);
    }

    private Endpoint loadTarget(List<Endpoint> candidates, AdapterRef ref) {
        List<Endpoint> ranked = RendezvousHash.rank(ref.toString(), candidates, Endpoint::id);
        Endpoint best = null;
        double minCost = Double.MAX_VALUE;
        for (int i = 0; i < ranked.size(); i++) {
            Endpoint e = ranked.get(i);
            double position = residency.wasResident(e, ref) ? 0 : 1 + i;
            double cost = waitMs(e)
                    + position * RENDEZVOUS_POSITION_COST_MS
                    + missingIdleCostMs(e)
                    + (hasOwner.test(e) ? 0 : NO_OWNER_COST_MS);
            if (cost < minCost) {
                minCost = cost;
                best = e;
            }
        }
        return best;
    }

    /** Expected wait for an adapter slot at an engine most of whose adapters are in use, ms. */
    private double missingIdleCostMs(Endpoint e) {
        int idle = residency.residencyOf(e).adapterCount() - adapterUsage.inUseCount(e.id());
        return Math.max(0, MIN_IDLE_ADAPTERS - idle) * MISSING_IDLE_COST_MS;
    }

    /** Whether this node gets enough requests for the adapter to make a copy worth its load. */
    private boolean inDemand(AdapterRef ref) {
        return demand.recentRequests(ref) >= MIN_COPY_REQUESTS;
    }

    private double residentCostMs(Endpoint e) {
        double requests = loads.total(e.id()).requests() * 1.0;
        return waitMs(e) + requests + (e.zone().equals(dataCentre) ? 0 : REMOTE_DATA_CENTRE_COST_MS);
    }
}
